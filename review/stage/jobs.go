package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// job is a job as its user submits it, and what its tasks do.
type job struct {
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
	Builds    []string `json:"builds"`
	Site      *string  `json:"site"`
	Together  bool     `json:"together"`
	Scatter   bool     `json:"scatter"`
	Loaners   bool     `json:"loaners"`
	GuessS    float64  `json:"guessS"`
	BookmarkS float64  `json:"bookmarkS"`
	StowS     float64  `json:"stowS"`
	DueS      *float64 `json:"dueS"`

	runs  time.Duration // run time of a task; 0: until it is stopped
	pull  time.Duration // time to fetch the image
	fails bool          // its tasks end with an error as soon as they start
}

// jobTable is the jobs that users have submitted, and where their tasks are.
type jobTable struct {
	record *recorder

	mu       sync.Mutex
	jobs     map[string]*job
	done     map[string]bool            // tasks that have completed
	on       map[string]map[string]bool // machines by task that is on them
	starts   map[string]int             // by job
	limits   map[string]float64         // GPUs by limited team
	breaches []string                   // broken rules that a start shows
}

func newJobTable(record *recorder) *jobTable {
	return &jobTable{
		record: record, jobs: map[string]*job{}, done: map[string]bool{}, on: map[string]map[string]bool{}, starts: map[string]int{},
		limits: map[string]float64{},
	}
}

func (t *jobTable) add(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[j.UID] = j
}

func (t *jobTable) find(uid string) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.jobs[uid]
}

// started records that a task is on a machine from now on.
func (t *jobTable) started(task string, w *worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.on[task] == nil {
		t.on[task] = map[string]bool{}
	}
	for other := range t.on[task] {
		t.breach("ran_twice: %s starts on %s while it is on %s", task, w.host, other)
	}
	t.on[task][w.host] = true
	uid, _, _ := strings.Cut(task, "/")
	t.starts[uid]++
	t.checkLimit(task)
}

// breach records a broken rule. The caller holds mu.
func (t *jobTable) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	t.breaches = append(t.breaches, text)
	t.record.note("BROKEN %s", text)
}

func (t *jobTable) left(task, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.on[task], host)
}

func (t *jobTable) finished(task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done[task] = true
}

func (t *jobTable) isDone(task string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.done[task]
}

// startsOf returns how many starts the tasks of a job had so far.
func (t *jobTable) startsOf(uid string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starts[uid]
}

// isOnMachine reports whether a task of a job is on a machine.
func (t *jobTable) isOnMachine(uid string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task, hosts := range t.on {
		if len(hosts) > 0 && strings.HasPrefix(task, uid+"/") {
			return true
		}
	}
	return false
}

// checkLimit checks that the tasks of a limited team that are on machines use no more than its limit.
// The caller holds mu.
func (t *jobTable) checkLimit(task string) {
	uid, _, _ := strings.Cut(task, "/")
	team := t.jobs[uid].Owner
	limit, limited := t.limits[team]
	if !limited {
		return
	}
	used := 0.0
	var tasks []string
	for other, hosts := range t.on {
		uid, _, _ := strings.Cut(other, "/")
		if t.jobs[uid].Owner == team {
			used += t.jobs[uid].GPUs * float64(len(hosts))
			tasks = append(tasks, fmt.Sprintf("%s on %v", other, slices.Sorted(maps.Keys(hosts))))
		}
	}
	const rounding = 1e-6
	if used > limit+rounding {
		slices.Sort(tasks)
		t.breach("quota: with the start of %s the team %s uses %g GPUs, its limit is %g: %v", task, team, used, limit, tasks)
	}
}

// limit sets the most GPUs that a team may use.
func (t *jobTable) limit(team string, gpus float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits[team] = gpus
}

// broken returns the broken rules that starts have shown.
func (t *jobTable) broken() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.breaches)
}
