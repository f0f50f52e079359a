package simulator

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"violetturn/internal/api"
)

// Rule names a rule of PROTOCOL that the world checks.
type Rule string

// Rules that are checked.
const (
	RuleRanTwice          Rule = "ran_twice"     // a task runs on one machine at a time
	RuleRanAfterCancel    Rule = "ran_cancelled" // no task runs for long after its user was told of the cancellation
	RuleQuota             Rule = "quota"         // a team's tasks keep to its limit
	RulePlacement         Rule = "wrong_place"   // a task runs only where its job allows
	RuleGangAttempts      Rule = "attempts"      // attempts of a gang do not overlap, and their numbers rise
	RuleCommands          Rule = "orders"        // commands name tasks that there are
	RuleLimits            Rule = "limits"        // transactions and values keep to the announced sizes
	RuleUnknownJob        Rule = "invented"      // a job that nobody submitted is not known
	RuleFinalPhaseChanged Rule = "went_back"     // a final phase does not change
	RuleNotDone           Rule = "not_done"      // a job is done only when all its tasks are
	RuleAcceptedJobLost   Rule = "forgotten"     // an accepted job stays known
	RuleWaitedTooLong     Rule = "waiting"       // nothing waits for long while there is room
)

// roundingError is by how much sums of resources may differ from what they stand for.
const roundingError = 1e-6

// Violation is a rule that was broken.
type Violation struct {
	Rule   Rule
	At     time.Time // by the world's clock
	Detail string
}

// String returns the violation for a person.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Rule, v.At.Format("15:04:05.000"), v.Detail)
}

// RecordViolation records a broken rule.
func (w *Environment) RecordViolation(rule Rule, format string, args ...any) {
	w.Violations = append(w.Violations, Violation{rule, w.Now, fmt.Sprintf(format, args...)})
}

// checkCancelled checks that no task is on a machine too long after its user was told that
// its job is cancelled.
func (w *Environment) checkCancelled() {
	for _, x := range w.Cloud.Workers() {
		for _, t := range x.Tasks {
			if told := t.job.CancelConfirmed; !told.IsZero() && w.Now.Sub(told) > w.CancelTimeout && t.isOnMachine() {
				w.RecordViolation(RuleRanAfterCancel, "%s is on %s", t.name(), x.Host)
			}
		}
	}
}

// taskStarted checks the rules at the moment when a task has its image.
func (w *Environment) taskStarted(x *Worker, t *Task) {
	if w.OnTaskStarted != nil {
		w.OnTaskStarted(x, t.uid)
	}
	spec := &t.job.Spec
	teamGPUs := 0.0
	tasksByZone := map[string]int{} // of the job's other tasks
	for _, other := range w.Cloud.Workers() {
		for _, o := range other.Tasks {
			if !o.isOnMachine() {
				continue
			}
			if o.job.Spec.Team == spec.Team {
				teamGPUs += o.job.Spec.GPUs
			}
			if o.uid == t.uid && o != t {
				tasksByZone[other.Zone]++
			}
			if o.uid == t.uid && o.index == t.index && other != x {
				w.RecordViolation(RuleRanTwice, "%s starts on %s while on %s", t.name(), x.Host, other.Host)
			}
		}
	}
	if limit := w.TeamGPULimits[spec.Team]; limit > 0 && teamGPUs > limit+roundingError {
		w.RecordViolation(RuleQuota, "%s uses %g of %g", spec.Team, teamGPUs, limit)
	}
	w.checkPlacement(x, t, tasksByZone)
}

// checkPlacement checks that a task that starts is where its job allows, given the zones of
// the job's other tasks.
func (w *Environment) checkPlacement(x *Worker, t *Task, tasksByZone map[string]int) {
	spec := &t.job.Spec
	wrongZone := spec.Zone != "" && spec.Zone != x.Zone
	wrongType := spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, x.MachineType)
	if wrongZone || wrongType || x.Spot && !spec.AllowSpot {
		w.RecordViolation(RulePlacement, "%s on %s", t.name(), x.Host)
	}
	if here := tasksByZone[x.Zone] + 1; spec.Spread && here > int(math.Ceil(float64(spec.Tasks)/2)) {
		w.RecordViolation(RulePlacement, "%s is number %d in %s of %d", t.name(), here, x.Zone, spec.Tasks)
	}
	if !spec.SingleZone {
		return
	}
	for zone := range tasksByZone {
		if zone != x.Zone {
			w.RecordViolation(RulePlacement, "%s in %s, others in %s", t.name(), x.Zone, zone)
		}
	}
}

// CheckUserResponse checks what a user was told of a job; status is the HTTP status of the
// response, and submission says that it answers a submission.
func (w *Environment) CheckUserResponse(uid string, status int, phase api.JobPhase, submission bool) {
	j := w.Jobs[uid]
	if status == http.StatusOK || status == http.StatusCreated {
		w.checkPhase(j, uid, phase)
		return
	}
	refused := submission && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity)
	if j != nil && j.Accepted && (status == http.StatusNotFound || refused) {
		w.RecordViolation(RuleAcceptedJobLost, "%s answered %d", uid, status)
	}
}

// checkPhase checks the phase that a user was told of a job, which is nil for one that
// nobody submitted.
func (w *Environment) checkPhase(j *Job, uid string, phase api.JobPhase) {
	if j == nil {
		w.RecordViolation(RuleUnknownJob, "%s is %s", uid, phase)
		return
	}
	if j.FinalPhase != "" && phase != j.FinalPhase {
		w.RecordViolation(RuleFinalPhaseChanged, "%s was %s and is %s", uid, j.FinalPhase, phase)
	}
	switch phase {
	case api.JobDone:
		if len(j.DoneTasks) < j.Spec.Tasks {
			w.RecordViolation(RuleNotDone, "%s with %d of %d tasks done", uid, len(j.DoneTasks), j.Spec.Tasks)
		}
		j.FinalPhase = phase
	case api.JobCancelled:
		if !j.CancelRequested {
			w.RecordViolation(RuleFinalPhaseChanged, "%s is cancelled without its user", uid)
		}
		if j.CancelConfirmed.IsZero() {
			j.CancelConfirmed = w.Now
		}
		j.FinalPhase = phase
	case api.JobPending, api.JobRunning: // may be told at any time before the end
	}
	j.Accepted = true
}
