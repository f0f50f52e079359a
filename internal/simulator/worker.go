package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"violetturn/internal/api"
)

// Worker is a machine's worker.
type Worker struct {
	w                       *World
	Host, Addr, Build, Site string
	Spot                    bool
	Session, Tick, Token    uint64
	Tasks                   []*Task
	Node                    int  // the controller it reports to
	Cut                     bool // no message passes, either way
	Deaf                    bool // its reports arrive, answers and commands don't reach it
	Mute                    bool // its reports reach nobody, while direct commands reach it
	Hung                    bool // it executes nothing and says nothing, but may go on
	RecallS                 *float64

	rented, upAt, goneAt time.Time
	renewed              time.Time // when its last answered report was sent
	session              time.Time // when the session began
}

// Task is an attempt on a machine.
type Task struct {
	uid       string
	job       *Job
	index     int
	try       uint64
	phase     string
	cause     string
	since     time.Time
	saveUntil time.Time
	saved     bool
}

// on tells whether the task is on its machine in the sense of the rules.
func (t *Task) on() bool {
	return t.phase == api.Running || t.phase == api.Saving || t.phase == api.Gathering
}

// Up tells whether the machine has booted.
func (x *Worker) Up() bool { return !x.w.Now.Before(x.upAt) }

func (x *Worker) tick() {
	if !x.Up() {
		return
	}
	if x.session.IsZero() {
		x.session = x.w.Now
	}
	last := x.session
	if x.renewed.After(last) {
		last = x.renewed
	}
	if x.w.Now.Sub(last) > x.w.Lease {
		x.Tasks = nil
		x.Session++
		x.session, x.renewed = x.w.Now, time.Time{}
		return
	}
	if x.Hung {
		return
	}
	for _, t := range x.Tasks {
		j := t.job
		switch {
		case t.phase == api.Fetching && x.w.Now.Sub(t.since) >= x.w.Flavor.Pull:
			t.phase, t.since = api.Running, x.w.Now
			if j.Run.Kind == api.Gang {
				t.phase = api.Gathering
			}
			x.w.started(x, t)
		case t.phase == api.Running && j.Run.Kind == api.Array && x.w.Now.Sub(t.since) >= j.RunTime+time.Duration(t.index)*j.Step:
			t.phase, t.cause = api.Ended, api.CauseDone
			j.Done[t.index] = true
			if x.w.AtEnd != nil {
				x.w.AtEnd(t.uid)
			}
		case t.phase == api.Saving && !x.w.Now.Before(t.saveUntil):
			t.phase, t.cause = api.Ended, api.CauseStopped
		}
	}
}

// Present names the job of each task that takes room on the machine.
func (x *Worker) Present() []string {
	var out []string
	for _, t := range x.Tasks {
		if t.phase != api.Ended {
			out = append(out, t.uid)
		}
	}
	return out
}

// Room is what the machine's tasks leave.
func (x *Worker) Room() (cpus, gpus float64) {
	cpus, gpus = x.w.Flavor.CPUs, x.w.Flavor.GPUs
	for _, t := range x.Tasks {
		if t.phase != api.Ended {
			cpus -= t.job.Run.CPUs
			gpus -= t.job.Run.GPUs
		}
	}
	return cpus, gpus
}

// Report makes a report.
func (x *Worker) Report() *api.Report {
	x.Tick++
	c := &api.Report{
		Host:        x.Host,
		Addr:        x.Addr,
		MachineType: x.Build,
		Zone:        x.Site,
		Spot:        x.Spot,
		Session:     x.Session,
		Sequence:    x.Tick,
		Token:       x.Token,
		NoticeS:     x.RecallS,
		Tasks:       []api.TaskState{},
	}
	for _, t := range x.Tasks {
		c.Tasks = append(
			c.Tasks,
			api.TaskState{Task: api.TaskName(t.uid, t.index), Attempt: t.try, Phase: t.phase, Cause: t.cause, Saved: t.saved},
		)
	}
	return c
}

// Summary stands for all in a report whose change has the worker report at once.
func (x *Worker) Summary() string {
	var b strings.Builder
	fmt.Fprint(&b, x.Session, x.Token, x.RecallS != nil)
	for _, t := range x.Tasks {
		fmt.Fprint(&b, " ", t.uid, t.index, t.try, t.phase)
	}
	return b.String()
}

// ParseAnswer reads the answer to a report: orders, or which controller to report to.
func ParseAnswer(body []byte) (o api.Response, steward string, err error) {
	var a struct {
		api.Response
		Steward string `json:"steward"`
	}
	err = json.Unmarshal(body, &a)
	return a.Response, a.Steward, err
}

// Answer takes in the answer to a report sent at the given time in the given
// session.
func (x *Worker) Answer(o api.Response, sent time.Time, tenure uint64) {
	if tenure != x.Session || o.Token < x.Token || o.Token == 0 {
		return
	}
	x.Token = o.Token
	if sent.After(x.renewed) {
		x.renewed = sent
	}
	x.execute(o.Commands)
}

func (x *Worker) execute(orders []api.Command) {
	for _, o := range orders {
		uid, i, ok := api.SplitTaskName(o.Task)
		if !ok {
			x.w.Break("orders", "piece %q", o.Task)
			continue
		}
		at := slices.IndexFunc(x.Tasks, func(t *Task) bool { return t.uid == uid && t.index == i && t.try == o.Attempt })
		switch o.Action {
		case api.Launch:
			if at < 0 {
				x.launch(uid, i, o.Attempt)
			}
		case api.Stop:
			if at < 0 || x.Tasks[at].phase == api.Ended {
				continue
			}
			t, j := x.Tasks[at], x.Tasks[at].job
			if j.Run.Kind == api.Gang {
				x.haltMate(t, o.GraceS)
				continue
			}
			stow := j.Run.SaveS
			if t.phase == api.Running && j.Run.CheckpointS > 0 && o.GraceS != nil && *o.GraceS >= stow {
				t.phase, t.saveUntil = api.Saving, x.w.Now.Add(time.Duration(stow*float64(time.Second)))
			} else if t.phase != api.Saving || o.GraceS == nil || *o.GraceS == 0 {
				t.phase, t.cause = api.Ended, api.CauseStopped
			}
		case api.Clear:
			if at >= 0 && x.Tasks[at].phase == api.Ended {
				x.Tasks = slices.Delete(x.Tasks, at, at+1)
			}
		}
	}
}

func (x *Worker) launch(uid string, i int, try uint64) {
	j := x.w.Jobs[uid]
	t := &Task{uid: uid, job: j, index: i, try: try, phase: api.Fetching, since: x.w.Now}
	refuse := func(cause string) { t.phase, t.cause = api.Ended, cause }
	if j == nil || i >= j.Run.Tasks {
		x.w.Break("orders", "launch of unknown %s", uid)
		return
	}
	if !j.StopTold.IsZero() {
		x.w.LateStarts++
	}
	if j.Run.Kind == api.Gang {
		x.w.launchMate(j, i, try)
	}
	free, cpus := x.w.Flavor.GPUs, x.w.Flavor.CPUs
	for _, o := range x.Tasks {
		if o.phase == api.Ended {
			continue
		}
		free -= o.job.Run.GPUs
		cpus -= o.job.Run.CPUs
		if o.uid == uid && o.index == i {
			refuse(api.CauseBusy)
		}
	}
	if t.phase != api.Ended && (j.Run.GPUs > free+1e-6 || j.Run.CPUs > cpus+1e-6) {
		refuse(api.CauseNoRoom)
	}
	x.Tasks = append(x.Tasks, t)
}
