// Package simulator holds simulated services for the outside systems: a state service, a
// cloud, workers and users, written from PROTOCOL, in one simulated world with
// its own clock and with faults. It checks PROTOCOL's rules as it goes. Nothing
// in it runs by itself: a test, or one day a rehearsal, drives it step by step,
// so that the same seed gives the same day.
package simulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"violetturn/internal/api"
)

// MachineType is the one machine type of the world.
type MachineType struct {
	Name              string
	CPUs, GPUs, MemGB float64
	Boot              time.Duration
	Fetch             time.Duration // of any image
}

// World is everything outside the controllers.
type World struct {
	Now         time.Time
	MachineType MachineType
	Zones       []string
	Lease       time.Duration
	CancelS     time.Duration

	GangWait, GangPeer time.Duration
	TeamGPULimits      map[string]float64 // accelerators of a team's tasks at most
	ListLag            time.Duration      // of the cloud's list

	Store      *Store
	Cloud      *Cloud
	Jobs       map[string]*Job
	Violations []string // rules broken

	LateStarts    int                         // tasks that began to fetch after their user was told that the job is cancelled
	OnTaskDone    func(uid string)            // hears of each task of a job that completes, at that moment
	OnTaskStarted func(x *Worker, uid string) // hears of each task that starts, at that moment
}

// Job is a job as its user sees it.
type Job struct {
	Spec            api.Job
	RunTime         time.Duration // of a task
	Step            time.Duration // by how much longer each next task runs
	Accepted        bool          // a user was told that it is accepted
	FinalPhase      string        // last phase told, if it was done or cancelled
	CancelRequested bool          // a user asked for its cancellation
	CancelConfirmed time.Time     // when its user was told that it is cancelled
	Done            map[int]bool
	gang            gangProgress
}

// New makes a world.
func New(start time.Time) *World {
	w := &World{Now: start, Jobs: map[string]*Job{}, TeamGPULimits: map[string]float64{}}
	w.Store = &Store{
		w:           w,
		keys:        map[string]storedValue{},
		leases:      map[uint64]*lease{},
		Refuse:      map[string]bool{},
		Unreachable: map[string]bool{},
		Next:        map[string]Fault{},
	}
	w.Cloud = &Cloud{
		w:           w,
		Hosts:       map[string]*Worker{},
		rentals:     map[string][]string{},
		Next:        map[string]Fault{},
		Unreachable: map[string]bool{},
	}
	return w
}

// Violate notes a broken rule.
func (w *World) Violate(rule, format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%s at %s: ", rule, w.Now.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// Advance moves the clock, in steps small enough for every timer.
func (w *World) Advance(d time.Duration) {
	for end := w.Now.Add(d); w.Now.Before(end); {
		w.Now = w.Now.Add(min(100*time.Millisecond, end.Sub(w.Now)))
		w.Store.tick()
		for _, x := range w.Cloud.Workers() {
			x.tick()
		}
		w.tickGangs()
		w.checkCancelled()
	}
}

// checkCancelled checks that no task is on a machine too long after its user was told that
// its job is cancelled.
func (w *World) checkCancelled() {
	for _, x := range w.Cloud.Workers() {
		for _, t := range x.Tasks {
			if told := t.job.CancelConfirmed; !told.IsZero() && w.Now.Sub(told) > w.CancelS && t.isOnMachine() {
				w.Violate("ran_cancelled", "%s is on %s", api.TaskName(t.uid, t.index), x.Host)
			}
		}
	}
}

// taskStarted checks the rules at the moment when a task has its image.
func (w *World) taskStarted(x *Worker, t *Task) {
	j := t.job
	name := api.TaskName(t.uid, t.index)
	r := &j.Spec
	if w.OnTaskStarted != nil {
		w.OnTaskStarted(x, t.uid)
	}
	used := 0.0
	zones := map[string]int{}
	for _, h := range w.Cloud.Workers() {
		for _, o := range h.Tasks {
			if !o.isOnMachine() {
				continue
			}
			if o.job.Spec.Team == r.Team {
				used += o.job.Spec.GPUs
			}
			if o.uid == t.uid && o != t {
				zones[h.Zone]++
			}
			if o.uid == t.uid && o.index == t.index && h != x {
				w.Violate("ran_twice", "%s starts on %s while on %s", name, x.Host, h.Host)
			}
		}
	}
	if lim := w.TeamGPULimits[r.Team]; lim > 0 && used > lim+1e-6 {
		w.Violate("quota", "%s uses %g of %g", r.Team, used, lim)
	}
	if r.Zone != "" && r.Zone != x.Zone || x.Spot && !r.Spot || r.MachineTypes != nil && !slices.Contains(r.MachineTypes, x.MachineType) {
		w.Violate("wrong_place", "%s on %s", name, x.Host)
	}
	if r.Spread && zones[x.Zone]+1 > int(math.Ceil(float64(r.Tasks)/2)) {
		w.Violate("wrong_place", "%s is the %d. in %s of %d", name, zones[x.Zone]+1, x.Zone, r.Tasks)
	}
	if r.Together {
		for z := range zones {
			if z != x.Zone {
				w.Violate("wrong_place", "%s in %s, others in %s", name, x.Zone, z)
			}
		}
	}
}

// CheckAnswer checks what a user was told of a job; status is that of the answer.
func (w *World) CheckAnswer(uid string, status int, phase string, submission bool) {
	j := w.Jobs[uid]
	if status == 200 || status == 201 {
		if j == nil {
			w.Violate("invented", "%s is %s", uid, phase)
			return
		}
		if j.FinalPhase != "" && phase != j.FinalPhase {
			w.Violate("went_back", "%s was %s and is %s", uid, j.FinalPhase, phase)
		}
		switch phase {
		case api.Done:
			if len(j.Done) < j.Spec.Tasks {
				w.Violate("not_done", "%s with %d of %d tasks done", uid, len(j.Done), j.Spec.Tasks)
			}
			j.FinalPhase = phase
		case api.Cancelled:
			if !j.CancelRequested {
				w.Violate("went_back", "%s is cancelled without its user", uid)
			}
			if j.CancelConfirmed.IsZero() {
				j.CancelConfirmed = w.Now
			}
			j.FinalPhase = phase
		}
		j.Accepted = true
		return
	}
	if j != nil && j.Accepted && (status == 404 || submission && (status == 400 || status == 422)) {
		w.Violate("forgotten", "%s answered %d", uid, status)
	}
}
