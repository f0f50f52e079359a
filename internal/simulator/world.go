// Package standin holds stand-ins for the outside systems: a state service, a
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

// Flavor is the one machine type of the world.
type Flavor struct {
	Label             string
	CPUs, GPUs, MemGB float64
	Boot              time.Duration
	Pull              time.Duration // of any image
}

// World is everything outside the controllers.
type World struct {
	Now     time.Time
	Flavor  Flavor
	Zones   []string
	Lease   time.Duration
	CancelS time.Duration

	GangWait, GangPeer time.Duration
	Limits             map[string]float64 // accelerators of a team's tasks at most
	Lag                time.Duration      // of the cloud's list

	Store  *Store
	Cloud  *Cloud
	Jobs   map[string]*Job
	Broken []string // rules broken

	LateStarts int                         // tasks that began to fetch after their user was told that the job is cancelled
	AtEnd      func(uid string)            // hears of each task of a job that completes, at that moment
	AtStart    func(x *Worker, uid string) // hears of each task that starts, at that moment
}

// Job is a job as its user sees it.
type Job struct {
	Run       api.Job
	RunTime   time.Duration // of a task
	Step      time.Duration // by how much longer each next task runs
	Told      bool          // a user was told that it is accepted
	Phase     string        // last phase told, if it was done or withdrawn
	AskedStop bool          // a user asked for its cancellation
	StopTold  time.Time     // when its user was told that it is cancelled
	Done      map[int]bool
	gang      gang
}

// New makes a world.
func New(start time.Time) *World {
	w := &World{Now: start, Jobs: map[string]*Job{}, Limits: map[string]float64{}}
	w.Store = &Store{
		w:      w,
		keys:   map[string]item{},
		holds:  map[uint64]*hold{},
		Refuse: map[string]bool{},
		Cut:    map[string]bool{},
		Next:   map[string]Fault{},
	}
	w.Cloud = &Cloud{w: w, Hosts: map[string]*Worker{}, hires: map[string][]string{}, Next: map[string]Fault{}, Cut: map[string]bool{}}
	return w
}

// Break notes a broken rule.
func (w *World) Break(rule, format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%s at %s: ", rule, w.Now.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
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
			if told := t.job.StopTold; !told.IsZero() && w.Now.Sub(told) > w.CancelS && t.on() {
				w.Break("ran_cancelled", "%s is on %s", api.TaskName(t.uid, t.index), x.Host)
			}
		}
	}
}

// started checks the rules at the moment when a task has its image.
func (w *World) started(x *Worker, t *Task) {
	j := t.job
	name := api.TaskName(t.uid, t.index)
	r := &j.Run
	if w.AtStart != nil {
		w.AtStart(x, t.uid)
	}
	used := 0.0
	zones := map[string]int{}
	for _, h := range w.Cloud.Workers() {
		for _, o := range h.Tasks {
			if !o.on() {
				continue
			}
			if o.job.Run.Team == r.Team {
				used += o.job.Run.GPUs
			}
			if o.uid == t.uid && o != t {
				zones[h.Site]++
			}
			if o.uid == t.uid && o.index == t.index && h != x {
				w.Break("ran_twice", "%s starts on %s while on %s", name, x.Host, h.Host)
			}
		}
	}
	if lim := w.Limits[r.Team]; lim > 0 && used > lim+1e-6 {
		w.Break("quota", "%s uses %g of %g", r.Team, used, lim)
	}
	if r.Zone != "" && r.Zone != x.Site || x.Spot && !r.Spot || r.MachineTypes != nil && !slices.Contains(r.MachineTypes, x.Build) {
		w.Break("wrong_place", "%s on %s", name, x.Host)
	}
	if r.Spread && zones[x.Site]+1 > int(math.Ceil(float64(r.Tasks)/2)) {
		w.Break("wrong_place", "%s is the %d. in %s of %d", name, zones[x.Site]+1, x.Site, r.Tasks)
	}
	if r.Together {
		for z := range zones {
			if z != x.Site {
				w.Break("wrong_place", "%s in %s, others in %s", name, x.Site, z)
			}
		}
	}
}

// Told checks what a user was told of a job; status is that of the answer.
func (w *World) Told(uid string, status int, phase string, submission bool) {
	j := w.Jobs[uid]
	if status == 200 || status == 201 {
		if j == nil {
			w.Break("invented", "%s is %s", uid, phase)
			return
		}
		if j.Phase != "" && phase != j.Phase {
			w.Break("went_back", "%s was %s and is %s", uid, j.Phase, phase)
		}
		switch phase {
		case api.Done:
			if len(j.Done) < j.Run.Tasks {
				w.Break("not_done", "%s with %d of %d tasks done", uid, len(j.Done), j.Run.Tasks)
			}
			j.Phase = phase
		case api.Cancelled:
			if !j.AskedStop {
				w.Break("went_back", "%s is cancelled without its user", uid)
			}
			if j.StopTold.IsZero() {
				j.StopTold = w.Now
			}
			j.Phase = phase
		}
		j.Told = true
		return
	}
	if j != nil && j.Told && (status == 404 || submission && (status == 400 || status == 422)) {
		w.Break("forgotten", "%s answered %d", uid, status)
	}
}
