package finalstate

import (
	"fmt"
	"log/slog"
	"testing"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/node"
)

// The cache holds no more entries than its limit, however many jobs finish. It removes the oldest
// entry first, and adding the same job again makes no further entry.
func TestCacheRemovesOldestWhenFull(t *testing.T) {
	settings := &config.Settings{HostName: "n0"}
	settings.Facts.Limits.MemoryMB = 1
	cache := New(node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler)))
	limit := maxEntries(settings)
	uid := func(i int) string { return fmt.Sprintf("run-%06d", i) }
	for i := range limit {
		cache.Add(uid(i), job.FinalState{Phase: api.JobDone, Done: i})
	}
	cache.Add(uid(1), job.FinalState{Phase: api.JobDone, Done: 1})
	if _, ok := cache.Get(uid(0)); !ok {
		t.Errorf("the oldest entry was removed from a cache of %d entries, which is the limit; want it kept", limit)
	}
	cache.Add(uid(limit), job.FinalState{Phase: api.JobCancelled, Done: 7})
	if _, ok := cache.Get(uid(0)); ok {
		t.Error("the oldest entry was kept after one entry more than the limit was added, want it removed")
	}
	if final, ok := cache.Get(uid(1)); !ok || final.Done != 1 || final.Phase != api.JobDone {
		t.Errorf("second entry: got %+v, found %t; want phase done with 1 task done, found", final, ok)
	}
	if final, ok := cache.Get(uid(limit)); !ok || final.Phase != api.JobCancelled || final.Done != 7 {
		t.Errorf("last entry: got %+v, found %t; want phase cancelled with 7 tasks done, found", final, ok)
	}
	if len(cache.byJob) != limit || len(cache.insertionOrder) != limit {
		t.Errorf("cache holds %d final states, %d ordered job IDs, want %d of each", len(cache.byJob), len(cache.insertionOrder), limit)
	}
}

func TestMaxEntriesFollowsMemoryLimit(t *testing.T) {
	for _, test := range []struct {
		name     string
		memoryMB float64
		want     int
	}{
		{"small memory limit: the minimum", 1, 1024},
		{"100 MB", 100, 6400},
		{"4 GB", 4096, 262144},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := &config.Settings{}
			settings.Facts.Limits.MemoryMB = test.memoryMB
			if got := maxEntries(settings); got != test.want {
				t.Errorf("maxEntries returned %d, want %d", got, test.want)
			}
		})
	}
}
