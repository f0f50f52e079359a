package api

import (
	"encoding/json"
	"strings"
)

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 100_000

// Job is a submission. Its JSON names are also those of the job's record.
type Job struct {
	UID                 string   `json:"uid"`
	Class               string   `json:"lane"` // the class of jobs that objectives are set for
	Team                string   `json:"owner"`
	Kind                JobKind  `json:"shape"`
	Priority            Priority `json:"rank"`
	Tasks               int      `json:"pieces"`              // number of them
	CPUs                float64  `json:"cpus"`                // of one task
	GPUs                float64  `json:"gpus"`                // of one task
	MemGB               float64  `json:"memGb"`               // of one task
	Image               string   `json:"bundle"`              // that a machine must have
	ImageGB             float64  `json:"sizeGb"`              // its size
	MachineTypes        []string `json:"builds"`              // those allowed; nil: any
	Zone                string   `json:"site,omitempty"`      // the one allowed; "": any
	SingleZone          bool     `json:"together,omitempty"`  // all tasks in the same zone
	Spread              bool     `json:"scatter,omitempty"`   // at most half of the tasks in one zone
	AllowSpot           bool     `json:"loaners,omitempty"`   // spot machines are allowed
	EstimatedRunS       float64  `json:"guessS,omitempty"`    // the user's estimate of a task's run time; 0 for services
	CheckpointIntervalS float64  `json:"bookmarkS,omitempty"` // between two checkpoints; 0: the task never saves
	SaveDurationS       float64  `json:"stowS,omitempty"`     // that a task needs to save when it is stopped
	DeadlineS           *float64 `json:"dueS,omitempty"`      // from the submission; nil: none
}

// JobState is what users are told of a job. Done and Running count tasks.
type JobState struct {
	UID     string   `json:"uid"`
	Phase   JobPhase `json:"phase"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// ParseJob reads a submission. Its error is a RequestError with StatusBadRequest.
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
	return j, nil
}

// readIdentity reads what a job is.
func (r *fieldReader) readIdentity(j *Job) {
	r.text("uid", &j.UID)
	r.check("uid", ValidUID(j.UID))
	r.text("lane", &j.Class)
	r.text("owner", &j.Team)
	r.read("shape", &j.Kind)
	r.check("shape", j.Kind.Known())
	r.read("rank", &j.Priority)
	r.check("rank", j.Priority.Known())
	r.read("pieces", &j.Tasks)
	r.check("pieces", j.Tasks >= 1 && j.Tasks <= MaxTasks)
}

// readResources reads what each task of a job needs.
func (r *fieldReader) readResources(j *Job) {
	r.amount("cpus", &j.CPUs)
	r.amount("gpus", &j.GPUs)
	r.amount("memGb", &j.MemGB)
	r.text("bundle", &j.Image)
	r.amount("sizeGb", &j.ImageGB)
}

// readPlacement reads where the tasks of a job may run.
func (r *fieldReader) readPlacement(j *Job) {
	j.MachineTypes = r.texts("builds")
	var zone *string
	r.readNullable("site", &zone)
	if zone != nil {
		j.Zone = *zone
		r.check("site", j.Zone != "")
	}
	r.read("together", &j.SingleZone)
	r.read("scatter", &j.Spread)
	r.read("loaners", &j.AllowSpot)
}

// readTimes reads the times of a job, in seconds.
func (r *fieldReader) readTimes(j *Job) {
	r.amount("guessS", &j.EstimatedRunS)
	r.amount("bookmarkS", &j.CheckpointIntervalS)
	r.amount("stowS", &j.SaveDurationS)
	r.readNullable("dueS", &j.DeadlineS)
	if j.DeadlineS != nil {
		r.check("dueS", *j.DeadlineS >= 0)
	}
}

// Bounds of a job's ID: its prefix and the number of digits after it.
const (
	uidPrefix    = "run-"
	maxUIDDigits = 20
)

// ValidUID reports whether a job ID has the form of PROTOCOL.
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

// ExtractUID reads only the ID of a submission and reports whether it has a valid one. A known ID is
// answered with its state before the rest is judged.
func ExtractUID(body []byte) (string, bool) {
	var fields map[string]json.RawMessage
	var uid string
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["uid"], &uid) != nil {
		return "", false
	}
	return uid, ValidUID(uid)
}

// ExtractJobKind reads only the kind of a submission; it returns "" if that can't be read.
func ExtractJobKind(body []byte) JobKind {
	var m struct {
		Kind JobKind `json:"shape"`
	}
	_ = json.Unmarshal(body, &m) // what can't be read has no kind
	return m.Kind
}
