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

// The bound holds however many jobs end, those that came first are forgotten first, and a
// repetition takes no place.
func TestRememberIsBounded(t *testing.T) {
	settings := &config.Settings{HostName: "n0"}
	settings.Facts.Limits.MemoryMB = 1
	cache := New(node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler)))
	most := maxRemembered(settings)
	uid := func(i int) string { return fmt.Sprintf("run-%06d", i) }
	for i := range most {
		cache.Add(uid(i), job.FinalState{Phase: api.JobDone, Done: i})
	}
	cache.Add(uid(1), job.FinalState{Phase: api.JobDone, Done: 1})
	if _, ok := cache.Get(uid(0)); !ok {
		t.Errorf("%d fit, and the first is forgotten with the last", most)
	}
	cache.Add(uid(most), job.FinalState{Phase: api.JobCancelled, Done: 7})
	if _, ok := cache.Get(uid(0)); ok {
		t.Error("one more than fit, and the first is still remembered")
	}
	if final, ok := cache.Get(uid(1)); !ok || final.Done != 1 || final.Phase != api.JobDone {
		t.Errorf("the second: %v, remembered: %t", final, ok)
	}
	if final, ok := cache.Get(uid(most)); !ok || final.Phase != api.JobCancelled || final.Done != 7 {
		t.Errorf("the last: %v, remembered: %t", final, ok)
	}
	if len(cache.byJob) != most || len(cache.order) != most {
		t.Errorf("%d states and %d names of %d", len(cache.byJob), len(cache.order), most)
	}
}

func TestMaxRemembered(t *testing.T) {
	for _, x := range []struct {
		name     string
		memoryMB float64
		want     int
	}{
		{"small memory: as many as arrivals at least", 1, 1024},
		{"100 MB", 100, 6400},
		{"4 GB", 4096, 262144},
	} {
		t.Run(x.name, func(t *testing.T) {
			settings := &config.Settings{}
			settings.Facts.Limits.MemoryMB = x.memoryMB
			if got := maxRemembered(settings); got != x.want {
				t.Errorf("%d, want %d", got, x.want)
			}
		})
	}
}
