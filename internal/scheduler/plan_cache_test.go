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

// testNodeInfo returns the node information of a controller for tests. Workers send a heartbeat every
// second and have a lease of nine seconds.
func testNodeInfo(t *testing.T) *node.Info {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Zone: "x"}
	settings.Facts.ControllerCount, settings.Facts.Zones = 1, []string{"x", "y"}
	settings.Facts.Workers.HeartbeatIntervalS, settings.Facts.Workers.LeaseS = 1, 9
	settings.Facts.Cloud.RPS, settings.Facts.Cloud.ListLagS = 8, 2
	return node.New(settings, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// The planning of rentals reuses the plan of the last decision step only once, because it assigns
// tasks to the plan's machines, and not if the plan is older than the autoscaling interval.
func TestCachedPlanIsReturnedOnce(t *testing.T) {
	info := testNodeInfo(t)
	s := New(Deps{Node: info, Catalog: catalog.New(info)})
	now := time.Unix(1_800_000_000, 0)
	first := &Plan{}
	s.CachePlan(first, now)
	if s.RecentPlan(now) != first {
		t.Fatal("first call of RecentPlan() returned a new plan, want the cached one")
	}
	if s.RecentPlan(now) == first {
		t.Fatal("second call of RecentPlan() returned the same plan, want a new one")
	}
	s.CachePlan(first, now)
	if s.RecentPlan(now.Add(info.Settings.AutoscaleInterval()+1)) == first {
		t.Fatal("RecentPlan() returned a plan older than the autoscaling interval, want a new one")
	}
}
