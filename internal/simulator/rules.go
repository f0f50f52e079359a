package simulator

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"violetturn/internal/api"
)

// Rule is the name of a rule of PROTOCOL that the simulation checks.
type Rule string

// Rules that the simulation or its tests check.
const (
	RuleRanTwice          Rule = "ran_twice"     // a task runs on at most one machine at a time
	RuleRanAfterCancel    Rule = "ran_cancelled" // no task runs longer than CancelTimeout after the cancellation was confirmed
	RuleQuota             Rule = "quota"         // a team's tasks use no more GPUs than its limit
	RulePlacement         Rule = "wrong_place"   // a task runs only on a machine and in a zone that its job allows
	RuleGangAttempts      Rule = "attempts"      // attempts of a gang do not overlap, and their numbers do not decrease
	RuleCommands          Rule = "orders"        // commands name existing tasks
	RuleLimits            Rule = "limits"        // transactions and values stay within the announced limits
	RuleUnknownJob        Rule = "invented"      // no response reports a job that was never submitted
	RuleFinalPhaseChanged Rule = "went_back"     // a final phase does not change, and no job is cancelled without a request
	RuleNotDone           Rule = "not_done"      // a job is reported as done only when all its tasks are done
	RuleAcceptedJobLost   Rule = "forgotten"     // an accepted job is neither refused nor reported as not found
	RuleWaitedTooLong     Rule = "waiting"       // no job waits for long while there is free capacity
)

// roundingTolerance is the rounding error allowed when sums of resources are compared.
const roundingTolerance = 1e-6

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	At     time.Time // simulated time
	Detail string
}

// String returns a readable description of the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Rule, v.At.Format("15:04:05.000"), v.Detail)
}

// RecordViolation records the violation of a rule.
func (e *Environment) RecordViolation(rule Rule, format string, args ...any) {
	e.Violations = append(e.Violations, Violation{rule, e.Now, fmt.Sprintf(format, args...)})
}

// checkCancelled checks that no task is still active once CancelTimeout has passed since the
// cancellation of its job was confirmed to the user.
func (e *Environment) checkCancelled() {
	for _, worker := range e.Cloud.Workers() {
		for _, t := range worker.Tasks {
			if confirmedAt := t.job.CancelConfirmed; !confirmedAt.IsZero() && e.Now.Sub(confirmedAt) > e.CancelTimeout && t.isActive() {
				e.RecordViolation(RuleRanAfterCancel, "task %s of a cancelled job is still on %s", t.name(), worker.Host)
			}
		}
	}
}

// taskStarted checks the rules on running tasks when a task has fetched its image.
func (e *Environment) taskStarted(worker *Worker, t *Task) {
	if e.OnTaskStarted != nil {
		e.OnTaskStarted(worker, t.uid)
	}
	spec := &t.job.Spec
	teamGPUs := 0.0
	tasksByZone := map[string]int{} // of the job's other tasks
	for _, otherWorker := range e.Cloud.Workers() {
		for _, otherTask := range otherWorker.Tasks {
			if !otherTask.isActive() {
				continue
			}
			if otherTask.job.Spec.Team == spec.Team {
				teamGPUs += otherTask.job.Spec.GPUs
			}
			if otherTask.uid == t.uid && otherTask != t {
				tasksByZone[otherWorker.Zone]++
			}
			if otherTask.uid == t.uid && otherTask.index == t.index && otherWorker != worker {
				e.RecordViolation(RuleRanTwice, "task %s starts on %s while it is still on %s", t.name(), worker.Host, otherWorker.Host)
			}
		}
	}
	if limit := e.TeamGPULimits[spec.Team]; limit > 0 && teamGPUs > limit+roundingTolerance {
		e.RecordViolation(RuleQuota, "team %s uses %g GPUs, limit %g", spec.Team, teamGPUs, limit)
	}
	e.checkPlacement(worker, t, tasksByZone)
}

// checkPlacement checks that a starting task is on a machine and in a zone that its job allows.
// tasksByZone counts the job's other active tasks in each zone.
func (e *Environment) checkPlacement(worker *Worker, t *Task, tasksByZone map[string]int) {
	spec := &t.job.Spec
	wrongZone := spec.Zone != "" && spec.Zone != worker.Zone
	wrongType := spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, worker.MachineType)
	if wrongZone || wrongType || worker.Spot && !spec.AllowSpot {
		e.RecordViolation(RulePlacement, "task %s may not run on %s", t.name(), worker.Host)
	}
	if zoneTasks := tasksByZone[worker.Zone] + 1; spec.Spread && zoneTasks > int(math.Ceil(float64(spec.Tasks)/2)) {
		e.RecordViolation(RulePlacement, "spread task %s is task %d in zone %s, of %d tasks", t.name(), zoneTasks, worker.Zone, spec.Tasks)
	}
	if !spec.SingleZone {
		return
	}
	for zone := range tasksByZone {
		if zone != worker.Zone {
			e.RecordViolation(RulePlacement, "task %s is in zone %s, other tasks of the job are in zone %s", t.name(), worker.Zone, zone)
		}
	}
}

// CheckUserResponse checks a response that a user received about a job. status is the HTTP status,
// and submission is set if the request was a submission.
func (e *Environment) CheckUserResponse(uid string, status int, phase api.JobPhase, submission bool) {
	j := e.Jobs[uid]
	if status == http.StatusOK || status == http.StatusCreated {
		e.checkPhase(j, uid, phase)
		return
	}
	refused := submission && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity)
	if j != nil && j.Accepted && (status == http.StatusNotFound || refused) {
		e.RecordViolation(RuleAcceptedJobLost, "accepted job %s: response status %d", uid, status)
	}
}

// checkPhase checks the phase of a job in a response to its user. j is nil if no such job was
// submitted.
func (e *Environment) checkPhase(j *Job, uid string, phase api.JobPhase) {
	if j == nil {
		e.RecordViolation(RuleUnknownJob, "job %s was never submitted, response says %s", uid, phase)
		return
	}
	if j.FinalPhase != "" && phase != j.FinalPhase {
		e.RecordViolation(RuleFinalPhaseChanged, "job %s was reported as %s, now as %s", uid, j.FinalPhase, phase)
	}
	switch phase {
	case api.JobDone:
		if len(j.DoneTasks) < j.Spec.Tasks {
			e.RecordViolation(RuleNotDone, "job %s is reported as done with %d of %d tasks done", uid, len(j.DoneTasks), j.Spec.Tasks)
		}
		j.FinalPhase = phase
	case api.JobCancelled:
		if !j.CancelRequested {
			e.RecordViolation(RuleFinalPhaseChanged, "job %s is reported as cancelled without a cancellation request", uid)
		}
		if j.CancelConfirmed.IsZero() {
			j.CancelConfirmed = e.Now
		}
		j.FinalPhase = phase
	case api.JobPending, api.JobRunning: // valid at any time before the final phase
	}
	j.Accepted = true
}
