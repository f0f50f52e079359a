package scheduler

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"violetturn/internal/catalog"
	"violetturn/internal/config"
	"violetturn/internal/node"
)

// testNode returns a controller process for tests. Workers send a heartbeat every second and have
// a lease of nine seconds.
func testNode(t *testing.T) *node.Info {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Zone: "x"}
	settings.Facts.ControllerCount, settings.Facts.Zones = 1, []string{"x", "y"}
	settings.Facts.Workers.HeartbeatIntervalS, settings.Facts.Workers.LeaseS = 1, 9
	settings.Facts.Cloud.RPS, settings.Facts.Cloud.ListLagS = 8, 2
	return node.New(settings, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// Rentals reuse the plan of the last decision only once, because they assign tasks to its
// machines, and not if it is older than the autoscaling interval.
func TestCachedPlanIsReturnedOnce(t *testing.T) {
	info := testNode(t)
	s := New(Deps{Node: info, Catalog: catalog.New(info)})
	now := time.Unix(1_800_000_000, 0)
	first := &Plan{}
	s.CachePlan(first, now)
	if s.RecentPlan(now) != first {
		t.Fatal("first call returned a new plan, want the plan of the last decision")
	}
	if s.RecentPlan(now) == first {
		t.Fatal("second call returned the same plan, want a new plan")
	}
	s.CachePlan(first, now)
	if s.RecentPlan(now.Add(info.Settings.AutoscaleInterval()+1)) == first {
		t.Fatal("call returned a plan older than the autoscaling interval, want a new plan")
	}
}
