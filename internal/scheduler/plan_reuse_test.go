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

// testNode returns a controller process for tests: workers send a heartbeat a second and have a
// lease of nine.
func testNode(t *testing.T) *node.Info {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Zone: "x"}
	settings.Facts.Size, settings.Facts.Zones = 1, []string{"x", "y"}
	settings.Facts.Workers.ReportS, settings.Facts.Workers.LeaseS = 1, 9
	settings.Facts.Cloud.RPS, settings.Facts.Cloud.ListLagS = 8, 2
	return node.New(settings, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// Rentals reuse the plan that the last decision made, but once only, for they fill its
// machines, and not one that is older than their own pause.
func TestPlanIsTakenOnce(t *testing.T) {
	info := testNode(t)
	s := New(Deps{Node: info, Catalog: catalog.New(info)})
	now := time.Unix(1_800_000_000, 0)
	first := &Plan{}
	s.CachePlan(first, now)
	if s.RecentPlan(now) != first {
		t.Fatal("the newest plan is not reused")
	}
	if s.RecentPlan(now) == first {
		t.Fatal("reused twice")
	}
	s.CachePlan(first, now)
	if s.RecentPlan(now.Add(info.Settings.AutoscaleInterval()+1)) == first {
		t.Fatal("reused though it is old")
	}
}
