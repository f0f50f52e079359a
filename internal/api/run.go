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
	Sweep    = "sweep"
	Daemon   = "daemon"
	Ensemble = "ensemble" // a gang: all tasks at the same time or none
)

// Phases of jobs.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// MaxPieces is the largest number of tasks in a job.
const MaxPieces = 100_000

// ranks from the most to the least important.
var ranks = map[string]int{"production": 0, "urgent": 1, "standard": 2, "idle": 3}

// RankOf gives the place of a rank: 0 is the most important.
func RankOf(rank string) (int, bool) {
	n, ok := ranks[rank]
	return n, ok
}

// Run is a submission. Its JSON names are also those of the job's record.
type Run struct {
	UID       string   `json:"uid"`
	Lane      string   `json:"lane"`
	Owner     string   `json:"owner"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Pieces    int      `json:"pieces"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"memGb"`
	Bundle    string   `json:"bundle"`
	SizeGB    float64  `json:"sizeGb"`
	Builds    []string `json:"builds"` // nil: any
	Site      string   `json:"site,omitempty"`
	Together  bool     `json:"together,omitempty"`
	Scatter   bool     `json:"scatter,omitempty"`
	Spot      bool     `json:"loaners,omitempty"`
	GuessS    float64  `json:"guessS,omitempty"`
	BookmarkS float64  `json:"bookmarkS,omitempty"`
	StowS     float64  `json:"stowS,omitempty"`
	DueS      *float64 `json:"dueS,omitempty"`
}

// ValidUID tells whether a job id has the form of PROTOCOL.
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

// ShapeOf reads only the shape of a submission, "" if it can't be read.
func ShapeOf(body []byte) string {
	var m struct {
		Shape string `json:"shape"`
	}
	_ = json.Unmarshal(body, &m) // what can't be read has no shape
	return m.Shape
}

type fields struct {
	m   map[string]json.RawMessage
	err error
}

func (f *fields) get(name string, nullable bool, v any) {
	if f.err != nil {
		return
	}
	raw, ok := f.m[name]
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

func (f *fields) check(name string, ok bool) {
	if f.err == nil && !ok {
		f.err = fmt.Errorf("%s: invalid", name)
	}
}

func (f *fields) text(name string, v *string) {
	f.get(name, false, v)
	f.check(name, *v != "")
}

func (f *fields) amount(name string, v *float64) {
	f.get(name, false, v)
	f.check(name, *v >= 0 && !math.IsInf(*v, 0))
}

// ParseRun reads a submission.
func ParseRun(body []byte) (*Run, error) {
	f := &fields{}
	if err := json.Unmarshal(body, &f.m); err != nil || f.m == nil {
		return nil, errors.New("not a JSON object")
	}
	r := &Run{}
	f.text("uid", &r.UID)
	f.check("uid", ValidUID(r.UID))
	f.text("lane", &r.Lane)
	f.text("owner", &r.Owner)
	f.text("shape", &r.Shape)
	f.check("shape", r.Shape == Sweep || r.Shape == Daemon || r.Shape == Ensemble)
	f.text("rank", &r.Rank)
	_, ok := ranks[r.Rank]
	f.check("rank", ok)
	f.get("pieces", false, &r.Pieces)
	f.check("pieces", r.Pieces >= 1 && r.Pieces <= MaxPieces)
	f.amount("cpus", &r.CPUs)
	f.amount("gpus", &r.GPUs)
	f.amount("memGb", &r.MemGB)
	f.text("bundle", &r.Bundle)
	f.amount("sizeGb", &r.SizeGB)
	var builds []*string
	f.get("builds", true, &builds)
	if builds != nil {
		r.Builds = []string{}
	}
	for _, b := range builds {
		f.check("builds", b != nil)
		if f.err == nil {
			r.Builds = append(r.Builds, *b)
		}
	}
	var site *string
	f.get("site", true, &site)
	if site != nil {
		r.Site = *site
		f.check("site", r.Site != "")
	}
	f.get("together", false, &r.Together)
	f.get("scatter", false, &r.Scatter)
	f.get("loaners", false, &r.Spot)
	f.amount("guessS", &r.GuessS)
	f.amount("bookmarkS", &r.BookmarkS)
	f.amount("stowS", &r.StowS)
	f.get("dueS", true, &r.DueS)
	if r.DueS != nil {
		f.check("dueS", *r.DueS >= 0)
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
