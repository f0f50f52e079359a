package sched

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// The own shard comes first; room anywhere is found, also for a second job by the same chooser.
func TestChooserPrefersOwnShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := map[string][]*Host{"own": drawHosts(t), "p": drawHosts(t), "q": drawHosts(t)}
		seed := rapid.Uint64().Draw(t, "seed")
		c := NewHostSelector(shards, rand.New(rand.NewPCG(seed, 1)))
		for range 2 {
			a := &TaskRequest{Need: drawResources(t, "need", 6), AllowSpot: true}
			c.BeginJob("own", a)
			for range 4 {
				got := c.NextHost(nil)
				own := FullestFit(shards["own"], a)
				if own != nil && got != own {
					t.Fatal("not the own shard's")
				}
				if got == nil && (FullestFit(shards["p"], a) != nil || FullestFit(shards["q"], a) != nil) {
					t.Fatal("room of a peer not found")
				}
				if got == nil {
					break
				}
				got.Free = got.Free.Sub(a.Need)
			}
		}
	})
}
