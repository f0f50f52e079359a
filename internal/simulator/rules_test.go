package simulator

import (
	"testing"
	"time"

	"violetturn/internal/api"
)

// Responses about a job are checked against the job and the earlier responses.
func TestCheckUserResponse(t *testing.T) {
	for _, test := range []struct {
		name       string
		job        *Job
		status     int
		phase      api.JobPhase
		submission bool
		wantRule   Rule // rule that is violated; "": none
	}{
		{"accepted", &Job{}, 201, "pending", true, ""},
		{"never submitted", nil, 200, "pending", false, RuleUnknownJob},
		{"never submitted and not found", nil, 404, "", false, ""},
		{"refused", &Job{}, 422, "", true, ""},
		{"accepted and not found", &Job{Accepted: true}, 404, "", false, RuleAcceptedJobLost},
		{"accepted and refused", &Job{Accepted: true}, 422, "", true, RuleAcceptedJobLost},
		{"accepted and unavailable", &Job{Accepted: true}, 503, "", true, ""},
		{"done too early", &Job{Spec: api.Job{Tasks: 2}, DoneTasks: map[int]bool{0: true}}, 200, api.JobDone, false, RuleNotDone},
		{"done", &Job{Spec: api.Job{Tasks: 1}, DoneTasks: map[int]bool{0: true}}, 200, api.JobDone, false, ""},
		{"done and pending", &Job{FinalPhase: api.JobDone}, 200, "pending", false, RuleFinalPhaseChanged},
		{"cancelled without a request", &Job{}, 200, api.JobCancelled, false, RuleFinalPhaseChanged},
		{"cancelled", &Job{CancelRequested: true}, 200, api.JobCancelled, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := newTestEnvironment()
			if test.job != nil {
				env.Jobs["run-000001"] = test.job
			}
			env.CheckUserResponse("run-000001", test.status, test.phase, test.submission)
			switch {
			case test.wantRule == "" && len(env.Violations) > 0:
				t.Errorf("violations %v, want none", env.Violations)
			case test.wantRule != "" && (len(env.Violations) != 1 || env.Violations[0].Rule != test.wantRule):
				t.Errorf("violations %v, want one of rule %q", env.Violations, test.wantRule)
			}
		})
	}
}

// Starting tasks are checked against their team's GPU limit and the zones and machines that their
// job allows. Tasks of a cancelled job are checked against the time by which they have to end.
func TestTaskRules(t *testing.T) {
	for _, test := range []struct {
		name     string
		setUp    func(env *Environment, j *Job)
		wantRule Rule
	}{
		{"allowed", func(*Environment, *Job) {}, ""},
		{"team above its limit", func(env *Environment, _ *Job) { env.TeamGPULimits["a"] = 1 }, RuleQuota},
		{"another zone", func(_ *Environment, j *Job) { j.Spec.Zone = "y" }, RulePlacement},
		{"spread", func(_ *Environment, j *Job) { j.Spec.Spread = true }, RulePlacement},
		{"cancelled", func(env *Environment, j *Job) { j.CancelConfirmed = env.Now.Add(-env.CancelTimeout) }, RuleRanAfterCancel},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := newTestEnvironment()
			j, _ := launchTestGang(t, env)
			test.setUp(env, j)
			advanceWithHeartbeats(env, 2*time.Second)
			violated := Rule("")
			if len(env.Violations) > 0 {
				violated = env.Violations[0].Rule
			}
			if violated != test.wantRule {
				t.Errorf("first violation is of rule %q, want %q; all violations: %v", violated, test.wantRule, env.Violations)
			}
		})
	}
}
