package controller

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// No rule is violated while messages are lost, delayed, repeated or reordered, processes crash,
// services fail, networks are partitioned and machines fail. After the faults have ended, every
// accepted array and gang is done, unless it was cancelled, and every controller answers queries
// about every accepted job.
func TestRulesHoldUnderFaults(t *testing.T) {
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

// newDrawnCluster returns a cluster that starts with the version in production, with the new
// version, or with the new version and lowered limits of the state service.
func newDrawnCluster(t *rapid.T) drawnCluster {
	s := newTestCluster()
	s.setStateLimits(8, 8, 1, 4)
	initialState := rapid.SampledFrom([]string{"production", "new", "lowered limits"}).Draw(t, "begin")
	for i, n := range s.nodes {
		n.runsProductionVersion = initialState == "production"
		s.startNode(i)
	}
	if initialState == "lowered limits" {
		s.limitsLowered = true
		s.lowerStateLimits()
	}
	s.runFor(10)
	return drawnCluster{s}
}

// runWithoutFaults runs until all arrays and gangs are done, or for maxRounds. It checks the
// derived state during the first checkedRounds, and during the whole time that no task waits for
// long while there is free capacity.
func (s drawnCluster) runWithoutFaults(t *rapid.T) {
	const (
		checkedRounds = 100
		minRounds     = 200
		maxRounds     = 2000
	)
	waitingSince := map[string]time.Time{}
	for range checkedRounds {
		s.runRound()
		s.checkWaiting(waitingSince)
		s.checkDerivedState(t)
	}
	for round := 0; round < maxRounds && (round < minRounds || !s.allButServicesDone()); round++ {
		s.runRound()
		s.checkWaiting(waitingSince)
		if round%10 == 0 {
			s.cancelServices()
		}
	}
}

// cancelServices cancels the services, which would otherwise use up their teams' limits forever.
func (s drawnCluster) cancelServices() {
	for _, id := range s.jobIDs {
		if j := s.environment.Jobs[id]; j.Spec.Kind == api.Service && j.FinalPhase == "" {
			s.cancel(0, id)
		}
	}
}

// checkOutcome checks that every controller can answer queries about an accepted job, that the job
// has no running tasks if it was cancelled, and that it is done if it was accepted and is not a
// service.
func (s drawnCluster) checkOutcome(t *rapid.T, id string) {
	j := s.environment.Jobs[id]
	for i, n := range s.nodes {
		r := n.controller.frontend.Query(context.Background(), id)
		if s.checkResponse(id, r.Status, r.Body, false); j.Accepted && r.Status != 200 {
			t.Fatalf("query of %s at controller %d after all faults: got status %d, want 200", id, i, r.Status)
		}
	}
	running := s.runningTasks(id)
	switch {
	case j.FinalPhase == api.JobCancelled:
		if running > 0 {
			t.Fatalf("running tasks of cancelled %s: got %d, want 0", id, running)
		}
	case !j.Accepted:
	case j.Spec.Kind != api.Service && j.FinalPhase != api.JobDone:
		t.Fatalf(
			"phase of %s: got %q, want %q; %d of %d tasks done; %s",
			id, j.FinalPhase, api.JobDone, len(j.DoneTasks), j.Spec.Tasks, s.describeJob(id),
		)
	}
}
