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
	w                             *World
	Host, Addr, MachineType, Zone string
	Spot                          bool
	AgentEpoch, Sequence, Token   uint64
	Tasks                         []*Task
	Node                          int  // the controller it reports to
	Partitioned                   bool // no message passes, either way
	InboundLost                   bool // its reports arrive, answers and commands don't reach it
	OutboundLost                  bool // its reports reach nobody, while direct commands reach it
	Hung                          bool // it executes nothing and says nothing, but may go on
	SpotNoticeS                   *float64

	rentedAt, upAt, terminatedAt time.Time
	renewedAt                    time.Time // when its last answered report was sent
	epochStartedAt               time.Time // when the session began
}

// Task is an attempt on a machine.
type Task struct {
	uid       string
	job       *Job
	index     int
	attempt   uint64
	phase     string
	cause     string
	since     time.Time
	saveUntil time.Time
	saved     bool
}

// isOnMachine reports whether the task is on its machine in the sense of the rules.
func (t *Task) isOnMachine() bool {
	return t.phase == api.Running || t.phase == api.Saving || t.phase == api.Gathering
}

// Up reports whether the machine has booted.
func (x *Worker) Up() bool { return !x.w.Now.Before(x.upAt) }

func (x *Worker) tick() {
	if !x.Up() {
		return
	}
	if x.epochStartedAt.IsZero() {
		x.epochStartedAt = x.w.Now
	}
	last := x.epochStartedAt
	if x.renewedAt.After(last) {
		last = x.renewedAt
	}
	if x.w.Now.Sub(last) > x.w.Lease {
		x.Tasks = nil
		x.AgentEpoch++
		x.epochStartedAt, x.renewedAt = x.w.Now, time.Time{}
		return
	}
	if x.Hung {
		return
	}
	for _, t := range x.Tasks {
		j := t.job
		switch {
		case t.phase == api.Fetching && x.w.Now.Sub(t.since) >= x.w.MachineType.Fetch:
			t.phase, t.since = api.Running, x.w.Now
			if j.Spec.Kind == api.Gang {
				t.phase = api.Gathering
			}
			x.w.taskStarted(x, t)
		case t.phase == api.Running && j.Spec.Kind == api.Array && x.w.Now.Sub(t.since) >= j.RunTime+time.Duration(t.index)*j.Step:
			t.phase, t.cause = api.Ended, api.CauseDone
			j.Done[t.index] = true
			if x.w.OnTaskDone != nil {
				x.w.OnTaskDone(t.uid)
			}
		case t.phase == api.Saving && !x.w.Now.Before(t.saveUntil):
			t.phase, t.cause = api.Ended, api.CauseStopped
		}
	}
}

// PresentJobs names the job of each task that takes room on the machine.
func (x *Worker) PresentJobs() []string {
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
	cpus, gpus = x.w.MachineType.CPUs, x.w.MachineType.GPUs
	for _, t := range x.Tasks {
		if t.phase != api.Ended {
			cpus -= t.job.Spec.CPUs
			gpus -= t.job.Spec.GPUs
		}
	}
	return cpus, gpus
}

// Heartbeat makes a heartbeat.
func (x *Worker) Heartbeat() *api.Heartbeat {
	x.Sequence++
	c := &api.Heartbeat{
		Host:        x.Host,
		Addr:        x.Addr,
		MachineType: x.MachineType,
		Zone:        x.Zone,
		Spot:        x.Spot,
		AgentEpoch:  x.AgentEpoch,
		Sequence:    x.Sequence,
		Token:       x.Token,
		SpotNoticeS: x.SpotNoticeS,
		Tasks:       []api.TaskState{},
	}
	for _, t := range x.Tasks {
		c.Tasks = append(
			c.Tasks,
			api.TaskState{Task: api.TaskName(t.uid, t.index), Attempt: t.attempt, Phase: t.phase, Cause: t.cause, Saved: t.saved},
		)
	}
	return c
}

// Summary stands for all in a heartbeat whose change has the worker report at once.
func (x *Worker) Summary() string {
	var b strings.Builder
	fmt.Fprint(&b, x.AgentEpoch, x.Token, x.SpotNoticeS != nil)
	for _, t := range x.Tasks {
		fmt.Fprint(&b, " ", t.uid, t.index, t.attempt, t.phase)
	}
	return b.String()
}

// ParseHeartbeatResponse reads the answer to a heartbeat: orders, or which controller to report to.
func ParseHeartbeatResponse(body []byte) (o api.CommandBatch, leader string, err error) {
	var a struct {
		api.CommandBatch
		Steward string `json:"steward"`
	}
	err = json.Unmarshal(body, &a)
	return a.CommandBatch, a.Steward, err
}

// HandleResponse takes in the answer to a heartbeat sent at the given time in the given
// session.
func (x *Worker) HandleResponse(o api.CommandBatch, sent time.Time, agentEpoch uint64) {
	if agentEpoch != x.AgentEpoch || o.Token < x.Token || o.Token == 0 {
		return
	}
	x.Token = o.Token
	if sent.After(x.renewedAt) {
		x.renewedAt = sent
	}
	x.execute(o.Commands)
}

func (x *Worker) execute(orders []api.Command) {
	for _, o := range orders {
		uid, i, ok := api.SplitTaskName(o.Task)
		if !ok {
			x.w.Violate("orders", "piece %q", o.Task)
			continue
		}
		at := slices.IndexFunc(x.Tasks, func(t *Task) bool { return t.uid == uid && t.index == i && t.attempt == o.Attempt })
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
			if j.Spec.Kind == api.Gang {
				x.stopGangTask(t, o.GraceS)
				continue
			}
			saveTime := j.Spec.SaveS
			if t.phase == api.Running && j.Spec.CheckpointS > 0 && o.GraceS != nil && *o.GraceS >= saveTime {
				t.phase, t.saveUntil = api.Saving, x.w.Now.Add(time.Duration(saveTime*float64(time.Second)))
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
	t := &Task{uid: uid, job: j, index: i, attempt: try, phase: api.Fetching, since: x.w.Now}
	refuse := func(cause string) { t.phase, t.cause = api.Ended, cause }
	if j == nil || i >= j.Spec.Tasks {
		x.w.Violate("orders", "launch of unknown %s", uid)
		return
	}
	if !j.CancelConfirmed.IsZero() {
		x.w.LateStarts++
	}
	if j.Spec.Kind == api.Gang {
		x.w.launchGangTask(j, i, try)
	}
	free, cpus := x.w.MachineType.GPUs, x.w.MachineType.CPUs
	for _, o := range x.Tasks {
		if o.phase == api.Ended {
			continue
		}
		free -= o.job.Spec.GPUs
		cpus -= o.job.Spec.CPUs
		if o.uid == uid && o.index == i {
			refuse(api.CauseBusy)
		}
	}
	if t.phase != api.Ended && (j.Spec.GPUs > free+1e-6 || j.Spec.CPUs > cpus+1e-6) {
		refuse(api.CauseNoRoom)
	}
	x.Tasks = append(x.Tasks, t)
}
