package scheduler

import (
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// preemptionParty is a job that preempts others or is preempted.
type preemptionParty struct {
	entry           *queueEntry
	spec            *api.Job
	beyondGuarantee bool
}

func drawParty(t *rapid.T, team string) preemptionParty {
	priority := rapid.SampledFrom([]api.Priority{api.Production, api.Urgent, api.Standard, api.Idle}).Draw(t, "priority")
	level := priority.Level()
	withinGuarantee := rapid.Bool().Draw(t, "within")
	spec := &api.Job{Team: team, Priority: priority}
	entry := &queueEntry{job: &statecache.Job{Record: &job.Record{Spec: *spec}}, priority: level, withinGuarantee: withinGuarantee}
	return preemptionParty{entry: entry, spec: spec, beyondGuarantee: !withinGuarantee}
}

// Jobs never preempt each other in turn, neither two jobs nor jobs of three teams in a chain. A
// production job beyond its team's guarantee and a standard job within its own once preempted each
// other twenty times in half a minute. Without guarantees the priority decides.
func TestMayPreemptHasNoCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		preempts := func(a, b preemptionParty) bool { return mayPreempt(a.entry, b.spec, b.beyondGuarantee) }
		x, y, z := drawParty(t, "x"), drawParty(t, "y"), drawParty(t, "z")
		if preempts(x, y) && preempts(y, x) {
			t.Fatalf("jobs %+v and %+v preempt each other, want at most one to", x, y)
		}
		if preempts(x, y) && preempts(y, z) && preempts(z, x) {
			t.Fatalf("jobs %+v, %+v and %+v preempt each other in a cycle, want none", x, y, z)
		}
		if x.beyondGuarantee && y.beyondGuarantee && x.entry.priority < y.entry.priority != preempts(x, y) {
			t.Fatalf("jobs %+v and %+v beyond their guarantees: mayPreempt() = %t, want %t by priority", x, y,
				preempts(x, y), !preempts(x, y))
		}
		if !x.beyondGuarantee && y.beyondGuarantee && !preempts(x, y) {
			t.Fatalf("job %+v within its guarantee, %+v beyond its own: mayPreempt() = false, want true", x, y)
		}
		if sameTeam := drawParty(t, "x"); x.entry.priority < sameTeam.entry.priority != preempts(x, sameTeam) {
			t.Fatalf("jobs %+v and %+v of one team: mayPreempt() = %t, want %t by priority", x, sameTeam, preempts(x, sameTeam),
				!preempts(x, sameTeam))
		}
	})
}
