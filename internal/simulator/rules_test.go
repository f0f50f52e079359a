package simulator

import (
	"testing"
	"time"

	"violetturn/internal/api"
)

// What users are told of a job is checked against what they were told before.
func TestCheckResponse(t *testing.T) {
	for _, x := range []struct {
		name       string
		job        *Job
		status     int
		phase      api.JobPhase
		submission bool
		rule       Rule // that is broken; "": none
	}{
		{"accepted", &Job{}, 201, "pending", true, ""},
		{"unknown to its user", nil, 200, "pending", false, RuleUnknownJob},
		{"unknown", nil, 404, "", false, ""},
		{"refused", &Job{}, 422, "", true, ""},
		{"accepted and unknown", &Job{Accepted: true}, 404, "", false, RuleAcceptedJobLost},
		{"accepted and refused", &Job{Accepted: true}, 422, "", true, RuleAcceptedJobLost},
		{"accepted, the service is down", &Job{Accepted: true}, 503, "", true, ""},
		{"done too early", &Job{Spec: api.Job{Tasks: 2}, DoneTasks: map[int]bool{0: true}}, 200, api.JobDone, false, RuleNotDone},
		{"done", &Job{Spec: api.Job{Tasks: 1}, DoneTasks: map[int]bool{0: true}}, 200, api.JobDone, false, ""},
		{"done and pending", &Job{FinalPhase: api.JobDone}, 200, "pending", false, RuleFinalPhaseChanged},
		{"cancelled by nobody", &Job{}, 200, api.JobCancelled, false, RuleFinalPhaseChanged},
		{"cancelled", &Job{CancelRequested: true}, 200, api.JobCancelled, false, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newTestWorld()
			if x.job != nil {
				w.Jobs["run-000001"] = x.job
			}
			w.CheckUserResponse("run-000001", x.status, x.phase, x.submission)
			switch {
			case x.rule == "" && len(w.Violations) > 0:
				t.Error(w.Violations)
			case x.rule != "" && (len(w.Violations) != 1 || w.Violations[0].Rule != x.rule):
				t.Errorf("%s is not broken: %v", x.rule, w.Violations)
			}
		})
	}
}

// Tasks that start are checked against their team's limit and the places that their job
// allows, and those of a cancelled job against the time in which they have to end.
func TestTaskRules(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(w *Environment, j *Job)
		rule   Rule
	}{
		{"allowed", func(*Environment, *Job) {}, ""},
		{"team at its limit", func(w *Environment, _ *Job) { w.TeamGPULimits["a"] = 1 }, RuleQuota},
		{"another zone", func(_ *Environment, j *Job) { j.Spec.Zone = "y" }, RulePlacement},
		{"spread", func(_ *Environment, j *Job) { j.Spec.Spread = true }, RulePlacement},
		{"cancelled", func(w *Environment, j *Job) { j.CancelConfirmed = w.Now.Add(-w.CancelTimeout) }, RuleRanAfterCancel},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newTestWorld()
			j, _ := launchTestGang(t, w)
			x.change(w, j)
			pass(w, 2*time.Second)
			broken := Rule("")
			if len(w.Violations) > 0 {
				broken = w.Violations[0].Rule
			}
			if broken != x.rule {
				t.Errorf("broken: %v", w.Violations)
			}
		})
	}
}
