package agent

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/leadership"
	"violetturn/internal/statecache"
)

// BeginLeadership begins the leadership of a shard that was acquired, unless it is lost
// again already. It returns the commands that fence the shard's workers.
func (reg *Registry) BeginLeadership(p string, term uint64, clean, hadLeader bool) []DirectCommand {
	now := reg.node.Now()
	v := reg.cache.Leaders[p]
	if v.Record == nil || v.Record.Term != term || reg.leadership.LeaseID() == 0 {
		return nil
	}
	reg.DropLeadership(p)
	o := &leadership.Leadership{Term: term, Version: v.Version, PredecessorAnswersUntil: now}
	if !clean {
		o.PredecessorAnswersUntil = now.Add(reg.node.Settings.LeadershipGrace())
	}
	reg.leadership.Begin(p, o)
	reg.node.Log.Info("shard acquired", "shard", p, "term", term, "had_leader", hadLeader, "clean", clean)
	var fences []DirectCommand
	for host, m := range reg.cache.Machines {
		if m.Shard != p {
			continue
		}
		reg.Of(host, o)
		if command, ok := reg.Fence(host); ok {
			fences = append(fences, command)
		}
	}
	reg.wake.Notify()
	return fences
}

// DropLeadership forgets a shard that is no longer ours.
func (reg *Registry) DropLeadership(p string) {
	reg.leadership.End(p)
	reg.dropAgentsOf(p)
}

// dropAgentsOf drops the agents of a shard, and of machines without a record.
func (reg *Registry) dropAgentsOf(p string) {
	for host := range reg.ByHost {
		if m := reg.cache.Machines[host]; m == nil || m.Shard == p {
			reg.Drop(host)
		}
	}
}

// DirectCommand is a batch of commands for one worker, to be sent to its address beside its
// heartbeats. It holds one of the slots until it was answered.
type DirectCommand struct {
	Host  string
	Addr  string
	Term  uint64
	Batch api.CommandBatch
	Slots chan struct{}
}

// Fence prepares the command that tells a worker our fencing token directly, so that an
// earlier leader's answers are dropped from then on; its answer shows what runs there. ok is
// false if the worker has seen this term, was asked a moment ago, or no slot is free.
func (reg *Registry) Fence(host string) (command DirectCommand, ok bool) {
	s := reg.ByHost[host]
	if s == nil || s.Fenced() || reg.node.Now().Sub(s.LastCommandAt) < reg.node.Settings.HeartbeatInterval() {
		return DirectCommand{}, false
	}
	return reg.prepareCommand(host, reg.fenceSlots, api.CommandBatch{AgentEpoch: 1, Commands: []api.Command{}})
}

// prepareCommand prepares commands that may be executed at any later time. ok is false if
// the worker can't be addressed or no slot is free: the next round asks again.
func (reg *Registry) prepareCommand(
	host string, slots chan struct{}, batch api.CommandBatch,
) (command DirectCommand, ok bool) {
	m, s := reg.cache.Machines[host], reg.ByHost[host]
	if m == nil || m.Addr == "" || s == nil {
		return DirectCommand{}, false
	}
	select {
	case slots <- struct{}{}:
	default:
		return DirectCommand{}, false
	}
	s.LastCommandAt = reg.node.Now()
	batch.Token = s.Token()
	return DirectCommand{Host: host, Addr: m.Addr, Term: s.Term, Batch: batch, Slots: slots}, true
}

// AcceptAnswer takes in the heartbeat that a worker answered direct commands of a term with.
func (reg *Registry) AcceptAnswer(host string, term uint64, r *api.Heartbeat) {
	if s := reg.ByHost[host]; s != nil && s.Term == term && r.Host == host {
		reg.AcceptHeartbeat(host, s, r)
	}
}

// DueHeartbeatRequests prepares the commands that have workers send a heartbeat now, as many
// as there are free slots: the rest follows in the next round.
func (reg *Registry) DueHeartbeatRequests(now time.Time) []DirectCommand {
	var commands []DirectCommand
	if !reg.leadership.MayAct(now) {
		return nil
	}
	for host := range reg.HeartbeatRequests {
		m := reg.cache.Machines[host]
		s := reg.ByHost[host]
		if m == nil || !reg.leadership.Leads(m.Shard) || s == nil || s.State != Responsive || s.LeaseExpired || s.Terminated {
			delete(reg.HeartbeatRequests, host)
			continue
		}
		o := api.CommandBatch{AgentEpoch: s.Heartbeat.AgentEpoch}
		var stop, start bool
		o.Commands, stop, start = reg.immediateCommands(host, s)
		if !stop {
			// Raises that come sooner after one another count as no change: they are
			// kept for starts that nothing else can announce.
			if !start || now.Sub(s.LastTokenChange()) < reg.node.Settings.WorkerLease()/2 {
				delete(reg.HeartbeatRequests, host)
				continue
			}
			s.RaiseToken(now)
		}
		command, ok := reg.prepareCommand(host, reg.heartbeatRequestSlots, o)
		if !ok {
			break
		}
		commands = append(commands, command)
		delete(reg.HeartbeatRequests, host)
	}
	return commands
}

// immediateCommands returns the orders that need not wait for the worker's next heartbeat: they
// may be carried out at any later time, and reports whether there are stops among
// them, and whether there are starts, which have to wait.
func (reg *Registry) immediateCommands(host string, s *Agent) (out []api.Command, stop, start bool) {
	out = []api.Command{}
	listed := map[AttemptID]api.TaskPhase{}
	for _, p := range s.Heartbeat.Tasks {
		listed[AttemptID{Task: p.Task, Attempt: p.Attempt}] = p.Phase
	}
	for _, pl := range reg.cache.Placements[host] {
		j := reg.cache.Jobs[pl.UID]
		if j == nil {
			continue
		}
		a := AttemptOf(pl, j)
		phase, there := listed[a]
		delete(listed, a)
		switch {
		case !there:
			start = start || j.MayLaunch(pl.Placement)
		case j.MustStop(pl.Placement) && phase != api.TaskSaving && phase != api.TaskEnded:
			out, stop = append(out, reg.StopCommand(j, a)), true
		}
	}
	for a, phase := range listed {
		if phase == api.TaskEnded {
			out = append(out, api.Command{Action: api.Clear, Task: a.Task, Attempt: a.Attempt})
		}
	}
	return out, stop, start
}

// StopCommand is the order that stops a task, with time to save if it can and is worth it.
func (reg *Registry) StopCommand(j *statecache.Job, a AttemptID) api.Command {
	leeway := 0.0
	if j.SavesOnStop() {
		leeway = j.Record.Spec.SaveS * 2
		if j.IsGang() {
			leeway += reg.node.Settings.GangPeerTimeout().Seconds() // each waits for all others' saves
		}
	}
	return api.Command{Action: api.Stop, Task: a.Task, Attempt: a.Attempt, GraceS: &leeway}
}

// AcceptHeartbeat takes in a heartbeat and looks at what it says.
func (reg *Registry) AcceptHeartbeat(host string, s *Agent, r *api.Heartbeat) bool {
	old, wasUnresponsive := s.Heartbeat, s.Unresponsive()
	if !s.Accept(r, reg.node.Now()) {
		return false
	}
	reg.leadership.NoteWorkerHeard(reg.node.Now())
	s.LastSeen = reg.node.Now()
	if s.Unresponsive() && !wasUnresponsive {
		reg.node.Log.Info(
			"worker unresponsive",
			"host",
			host,
			"why",
			"its lease expired although it was answered: no tasks until it obeys a command",
		)
	}
	if old == nil || wasUnresponsive != s.Unresponsive() || old.AgentEpoch != r.AgentEpoch ||
		(old.SpotNoticeS == nil) != (r.SpotNoticeS == nil) || !slices.Equal(old.Tasks, r.Tasks) {
		reg.wake.Notify()
	}
	return true
}

// AttemptID names a try of a task on the wire.
type AttemptID struct {
	Task    string
	Attempt uint64
}

// AttemptOf names the attempt of a placed task of a job.
func AttemptOf(pl *statecache.PlacedTask, j *statecache.Job) AttemptID {
	return AttemptID{Task: pl.TaskName(j), Attempt: pl.Placement.Attempt}
}

// StopCancelledTasks returns the commands that stop the tasks of cancelled jobs on a machine: what
// is committed may have changed where this node can't see it, but a cancelled job stays
// cancelled, and its tasks have to go in time.
func (reg *Registry) StopCancelledTasks(host string) []api.Command {
	commands := []api.Command{}
	for _, pl := range reg.cache.Placements[host] {
		if j := reg.cache.Jobs[pl.UID]; j != nil && j.IsCancelled() {
			commands = append(commands, reg.StopCommand(j, AttemptOf(pl, j)))
		}
	}
	return commands
}
