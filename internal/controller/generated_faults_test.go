package controller

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// Under lost, delayed, repeated and reordered messages, crashes, outages, partitions and
// dying machines no rule is broken, and once the faults end every job that was accepted
// runs.
func TestRulesHoldUnderTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newDrawnCluster(t)
		t.Repeat(s.faultActions())
		s.endFaults()
		s.runWithoutFaults(t)
		s.checkViolations(t)
		for _, id := range s.jobIDs {
			s.checkOutcome(t, id)
		}
		s.checkViolations(t)
	})
}

// newDrawnCluster returns a cluster that begins with the version in production, with the new
// version, or with lowered limits too.
func newDrawnCluster(t *rapid.T) drawnCluster {
	s := newTestCluster()
	s.setStateLimits(8, 8, 1, 4)
	begin := rapid.SampledFrom([]string{"production", "new", "lowered limits"}).Draw(t, "begin")
	for i, n := range s.nodes {
		n.inProduction = begin == "production"
		s.startNode(i)
	}
	if begin == "lowered limits" {
		s.limitsLowered = true
		s.lowerStateLimits()
	}
	s.runFor(10)
	return drawnCluster{s}
}

// runWithoutFaults runs until all arrays and gangs are done, or for long enough. It checks
// the derived state at first, and that nothing waits beside room all the time.
func (s drawnCluster) runWithoutFaults(t *rapid.T) {
	const (
		checkedRounds = 100
		minRounds     = 200
		maxRounds     = 2000
	)
	since := map[string]time.Time{}
	for range checkedRounds {
		s.runRound()
		s.checkWaiting(since)
		s.checkDerivedState(t)
	}
	for k := 0; k < maxRounds && (k < minRounds || !s.arraysDone()); k++ {
		s.runRound()
		s.checkWaiting(since)
		if k%10 == 0 {
			s.cancelServices()
		}
	}
}

// cancelServices cancels the services, which would use their teams' limits for ever.
func (s drawnCluster) cancelServices() {
	for _, id := range s.jobIDs {
		if j := s.environment.Jobs[id]; j.Spec.Kind == api.Service && j.FinalPhase == "" {
			s.cancel(0, id)
		}
	}
}

// checkOutcome checks that a job is known at every node, has no tasks if it was cancelled,
// and is done if it was accepted and is no service.
func (s drawnCluster) checkOutcome(t *rapid.T, id string) {
	j := s.environment.Jobs[id]
	for i, n := range s.nodes {
		r := n.controller.frontend.Query(context.Background(), id)
		if s.checkResponse(id, r.Status, r.Body, false); j.Accepted && r.Status != 200 {
			t.Fatalf("%s: node %d answers %d after all faults", id, i, r.Status)
		}
	}
	running := s.runningTasks(id)
	switch {
	case j.FinalPhase == api.JobCancelled:
		if running > 0 {
			t.Fatalf("%s is cancelled and has %d tasks", id, running)
		}
	case !j.Accepted:
	case j.Spec.Kind != api.Service && j.FinalPhase != api.JobDone:
		t.Fatalf("%s has not been done: %d of %d; %s", id, len(j.DoneTasks), j.Spec.Tasks, s.describeJob(id))
	}
}
