package api

import (
	"encoding/json"
	"strings"

	"violetturn/internal/numeric"
)

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 100_000

// Job is a job as submitted by a user. Its record in the state service has the same JSON names.
type Job struct {
	UID                 string   `json:"uid"`
	Class               string   `json:"lane"` // job class, the unit for which objectives are configured
	Team                string   `json:"owner"`
	Kind                JobKind  `json:"shape"`
	Priority            Priority `json:"rank"`
	Tasks               int      `json:"pieces"`              // number of tasks
	CPUs                float64  `json:"cpus"`                // per task
	GPUs                float64  `json:"gpus"`                // per task
	MemGB               float64  `json:"memGb"`               // per task
	Image               string   `json:"bundle"`              // name of the image, which a machine fetches before a task runs
	ImageGB             float64  `json:"sizeGb"`              // size of the image
	MachineTypes        []string `json:"builds"`              // allowed machine types; nil: any
	Zone                string   `json:"site,omitempty"`      // allowed zone; "": any
	SingleZone          bool     `json:"together,omitempty"`  // all tasks must run in the same zone
	Spread              bool     `json:"scatter,omitempty"`   // at most half of the tasks may run in one zone
	AllowSpot           bool     `json:"loaners,omitempty"`   // whether spot machines are allowed
	EstimatedRunS       float64  `json:"guessS,omitempty"`    // user's estimate of a task's run time; 0 for services
	CheckpointIntervalS float64  `json:"bookmarkS,omitempty"` // time between two checkpoints; 0: the task never saves
	SaveDurationS       float64  `json:"stowS,omitempty"`     // time that a task needs to save when it is stopped
	DeadlineS           *float64 `json:"dueS,omitempty"`      // deadline, counted from the submission; nil: none
}

// JobState is the state of a job as reported to users. Done and Running are numbers of tasks.
type JobState struct {
	UID     string   `json:"uid"`
	Phase   JobPhase `json:"phase"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// ParseJob parses a submission. Its error is a RequestError with StatusBadRequest.
func ParseJob(body []byte) (*Job, error) {
	r, ok := newFieldReader(body)
	if !ok {
		return nil, NewRequestError(StatusBadRequest, "not a JSON object")
	}
	j := &Job{}
	r.readIdentity(j)
	r.readResources(j)
	r.readPlacement(j)
	r.readTimes(j)
	if r.err != nil {
		return nil, r.err
	}
	j.BoundAmounts()
	return j, nil
}

// BoundAmounts bounds the job's amounts and durations, of which the protocol does not limit any.
func (j *Job) BoundAmounts() {
	numeric.Amounts(&j.CPUs, &j.GPUs, &j.MemGB, &j.ImageGB, &j.EstimatedRunS, &j.CheckpointIntervalS, &j.SaveDurationS)
	if j.DeadlineS != nil {
		numeric.Amounts(j.DeadlineS)
	}
}

// readIdentity reads the ID, owner, kind, priority and number of tasks of a job.
func (r *fieldReader) readIdentity(j *Job) {
	r.readText("uid", &j.UID)
	r.requireValid("uid", ValidUID(j.UID))
	r.readText("lane", &j.Class)
	r.readText("owner", &j.Team)
	r.read("shape", &j.Kind)
	r.requireValid("shape", j.Kind.Known())
	r.read("rank", &j.Priority)
	r.requireValid("rank", j.Priority.Known())
	r.read("pieces", &j.Tasks)
	r.requireValid("pieces", j.Tasks >= 1 && j.Tasks <= MaxTasks)
}

// readResources reads the resources and the image that each task of a job needs.
func (r *fieldReader) readResources(j *Job) {
	r.readAmount("cpus", &j.CPUs)
	r.readAmount("gpus", &j.GPUs)
	r.readAmount("memGb", &j.MemGB)
	r.readText("bundle", &j.Image)
	r.readAmount("sizeGb", &j.ImageGB)
}

// readPlacement reads the constraints on where the tasks of a job may run.
func (r *fieldReader) readPlacement(j *Job) {
	j.MachineTypes = r.readTexts("builds")
	var zone *string
	r.readNullable("site", &zone)
	if zone != nil {
		j.Zone = *zone
		r.requireValid("site", j.Zone != "")
	}
	r.read("together", &j.SingleZone)
	r.read("scatter", &j.Spread)
	r.read("loaners", &j.AllowSpot)
}

// readTimes reads the durations of a job, in seconds.
func (r *fieldReader) readTimes(j *Job) {
	r.readAmount("guessS", &j.EstimatedRunS)
	r.readAmount("bookmarkS", &j.CheckpointIntervalS)
	r.readAmount("stowS", &j.SaveDurationS)
	r.readNullable("dueS", &j.DeadlineS)
	if j.DeadlineS != nil {
		r.requireValid("dueS", *j.DeadlineS >= 0)
	}
}

// Format of a job ID: a prefix followed by a limited number of digits.
const (
	uidPrefix    = "run-"
	maxUIDDigits = 20
)

// ValidUID reports whether a job ID has the format that PROTOCOL specifies.
func ValidUID(s string) bool {
	digits, ok := strings.CutPrefix(s, uidPrefix)
	if !ok || digits == "" || len(digits) > maxUIDDigits {
		return false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// ExtractUID reads only the job ID of a submission and reports whether it is valid. A repeated
// submission of an accepted job is answered with the job's state even if its other fields are
// invalid.
func ExtractUID(body []byte) (string, bool) {
	var values map[string]json.RawMessage
	var uid string
	if json.Unmarshal(body, &values) != nil || json.Unmarshal(values["uid"], &uid) != nil {
		return "", false
	}
	return uid, ValidUID(uid)
}

// ExtractJobKind reads only the job kind of a submission. It returns "" if the kind cannot be read.
func ExtractJobKind(body []byte) JobKind {
	var submission struct {
		Kind JobKind `json:"shape"`
	}
	_ = json.Unmarshal(body, &submission) // the kind stays empty if the body is malformed
	return submission.Kind
}
