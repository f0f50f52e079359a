package sched

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// A machine of the job's own shard is preferred, and if none fits, one in any peer's shard is found.
// This also holds for a second job.
func TestHostSelectorPrefersOwnShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := map[string][]*Host{"own": drawHosts(t), "p": drawHosts(t), "q": drawHosts(t)}
		seed := rapid.Uint64().Draw(t, "seed")
		selector := NewHostSelector(shards, rand.New(rand.NewPCG(seed, 1)))
		for range 2 {
			request := &TaskRequest{Need: drawResources(t, "need", 6), AllowSpot: true}
			selector.BeginJob("own", request)
			for range 4 {
				got := selector.NextHost(nil)
				ownFit := FullestFit(shards["own"], request)
				if ownFit != nil && got != ownFit {
					t.Fatalf("NextHost() = %v, want %s of the job's own shard", got, ownFit.Name)
				}
				if got == nil && (FullestFit(shards["p"], request) != nil || FullestFit(shards["q"], request) != nil) {
					t.Fatal("NextHost() = nil, want a machine of a peer's shard that fits")
				}
				if got == nil {
					break
				}
				got.Free = got.Free.Sub(request.Need)
			}
		}
	})
}
