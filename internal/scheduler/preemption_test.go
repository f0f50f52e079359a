package scheduler

import (
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// preemptionSide is a job that stops others or is stopped.
type preemptionSide struct {
	entry           *queueEntry
	spec            *api.Job
	beyondGuarantee bool
}

func drawSide(t *rapid.T, team string) preemptionSide {
	priority := rapid.SampledFrom([]api.Priority{api.Production, api.Urgent, api.Standard, api.Idle}).Draw(t, "priority")
	number := priority.Level()
	within := rapid.Bool().Draw(t, "within")
	spec := &api.Job{Team: team, Priority: priority}
	entry := &queueEntry{job: &statecache.Job{Record: &job.Record{Spec: *spec}}, priority: number, withinGuarantee: within}
	return preemptionSide{entry: entry, spec: spec, beyondGuarantee: !within}
}

// What one job may stop for another never comes back the same way: a production job that
// was beyond its team's guarantee and a standard one within its own once took the same
// room from each other twenty times in half a minute. Chains among teams end, and where
// nobody has a guarantee the priority decides.
func TestPreemptionHasNoCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stops := func(a, b preemptionSide) bool { return mayPreempt(a.entry, b.spec, b.beyondGuarantee) }
		x, y, z := drawSide(t, "x"), drawSide(t, "y"), drawSide(t, "z")
		if stops(x, y) && stops(y, x) {
			t.Fatalf("%+v and %+v stop each other", x, y)
		}
		if stops(x, y) && stops(y, z) && stops(z, x) {
			t.Fatalf("%+v, %+v and %+v go round", x, y, z)
		}
		if x.beyondGuarantee && y.beyondGuarantee && x.entry.priority < y.entry.priority != stops(x, y) {
			t.Fatalf("without guarantees %+v, %+v are not decided by priority", x, y)
		}
		if !x.beyondGuarantee && y.beyondGuarantee && !stops(x, y) {
			t.Fatalf("%+v does not get its guarantee from %+v", x, y)
		}
		if own := drawSide(t, "x"); x.entry.priority < own.entry.priority != stops(x, own) {
			t.Fatalf("within a team %+v, %+v are not decided by priority", x, own)
		}
	})
}
