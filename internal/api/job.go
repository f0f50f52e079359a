// Package api holds the JSON of PROTOCOL: what users submit and workers report.
// It is strict about what it takes: a field that is missing, of a wrong type
// or out of range is an error, unknown fields are not.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Shapes of jobs.
const (
	Array   = "sweep"
	Service = "daemon"
	Gang    = "ensemble" // a gang: all tasks at the same time or none
)

// Phases of jobs.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 100_000

// priorities from the most to the least important.
var priorities = map[string]int{"production": 0, "urgent": 1, "standard": 2, "idle": 3}

// PriorityOf returns the place of a rank: 0 is the most important.
func PriorityOf(priority string) (int, bool) {
	n, ok := priorities[priority]
	return n, ok
}

// Job is a submission. Its JSON names are also those of the job's record.
type Job struct {
	UID          string   `json:"uid"`
	Class        string   `json:"lane"`
	Team         string   `json:"owner"`
	Kind         string   `json:"shape"`
	Priority     string   `json:"rank"`
	Tasks        int      `json:"pieces"`
	CPUs         float64  `json:"cpus"`
	GPUs         float64  `json:"gpus"`
	MemGB        float64  `json:"memGb"`
	Image        string   `json:"bundle"`
	ImageGB      float64  `json:"sizeGb"`
	MachineTypes []string `json:"builds"` // nil: any
	Zone         string   `json:"site,omitempty"`
	Together     bool     `json:"together,omitempty"`
	Spread       bool     `json:"scatter,omitempty"`
	Spot         bool     `json:"loaners,omitempty"`
	EstimateS    float64  `json:"guessS,omitempty"`
	CheckpointS  float64  `json:"bookmarkS,omitempty"`
	SaveS        float64  `json:"stowS,omitempty"`
	DeadlineS    *float64 `json:"dueS,omitempty"`
}

// ValidUID reports whether a job id has the form of PROTOCOL.
func ValidUID(s string) bool {
	d, ok := strings.CutPrefix(s, "run-")
	if !ok || len(d) == 0 || len(d) > 20 {
		return false
	}
	for i := range len(d) {
		if d[i] < '0' || d[i] > '9' {
			return false
		}
	}
	return true
}

// UIDOf reads only the id of a submission, if it has a usable one. A known id
// is answered with its state before the rest is judged.
func UIDOf(body []byte) (string, bool) {
	var m map[string]json.RawMessage
	var uid string
	if json.Unmarshal(body, &m) != nil || json.Unmarshal(m["uid"], &uid) != nil {
		return "", false
	}
	return uid, ValidUID(uid)
}

// KindOf reads only the shape of a submission, "" if it can't be read.
func KindOf(body []byte) string {
	var m struct {
		Shape string `json:"shape"`
	}
	_ = json.Unmarshal(body, &m) // what can't be read has no shape
	return m.Shape
}

type jsonFields struct {
	values map[string]json.RawMessage
	err    error
}

func (f *jsonFields) get(name string, nullable bool, v any) {
	if f.err != nil {
		return
	}
	raw, ok := f.values[name]
	if !ok || string(raw) == "null" {
		if !nullable {
			f.err = fmt.Errorf("%s: missing", name)
		}
		return
	}
	if err := json.Unmarshal(raw, v); err != nil {
		f.err = fmt.Errorf("%s: wrong type", name)
	}
}

func (f *jsonFields) check(name string, ok bool) {
	if f.err == nil && !ok {
		f.err = fmt.Errorf("%s: invalid", name)
	}
}

func (f *jsonFields) text(name string, v *string) {
	f.get(name, false, v)
	f.check(name, *v != "")
}

func (f *jsonFields) amount(name string, v *float64) {
	f.get(name, false, v)
	f.check(name, *v >= 0 && !math.IsInf(*v, 0))
}

// ParseJob reads a submission.
func ParseJob(body []byte) (*Job, error) {
	f := &jsonFields{}
	if err := json.Unmarshal(body, &f.values); err != nil || f.values == nil {
		return nil, errors.New("not a JSON object")
	}
	r := &Job{}
	f.text("uid", &r.UID)
	f.check("uid", ValidUID(r.UID))
	f.text("lane", &r.Class)
	f.text("owner", &r.Team)
	f.text("shape", &r.Kind)
	f.check("shape", r.Kind == Array || r.Kind == Service || r.Kind == Gang)
	f.text("rank", &r.Priority)
	_, ok := priorities[r.Priority]
	f.check("rank", ok)
	f.get("pieces", false, &r.Tasks)
	f.check("pieces", r.Tasks >= 1 && r.Tasks <= MaxTasks)
	f.amount("cpus", &r.CPUs)
	f.amount("gpus", &r.GPUs)
	f.amount("memGb", &r.MemGB)
	f.text("bundle", &r.Image)
	f.amount("sizeGb", &r.ImageGB)
	var machineTypes []*string
	f.get("builds", true, &machineTypes)
	if machineTypes != nil {
		r.MachineTypes = []string{}
	}
	for _, b := range machineTypes {
		f.check("builds", b != nil)
		if f.err == nil {
			r.MachineTypes = append(r.MachineTypes, *b)
		}
	}
	var zone *string
	f.get("site", true, &zone)
	if zone != nil {
		r.Zone = *zone
		f.check("site", r.Zone != "")
	}
	f.get("together", false, &r.Together)
	f.get("scatter", false, &r.Spread)
	f.get("loaners", false, &r.Spot)
	f.amount("guessS", &r.EstimateS)
	f.amount("bookmarkS", &r.CheckpointS)
	f.amount("stowS", &r.SaveS)
	f.get("dueS", true, &r.DeadlineS)
	if r.DeadlineS != nil {
		f.check("dueS", *r.DeadlineS >= 0)
	}
	return r, f.err
}

// State is what users are told of a job.
type State struct {
	UID     string `json:"uid"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// JSON encodes a value that is known to encode.
func JSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("api: %v", err)) // no type of ours can fail to encode
	}
	return b
}
