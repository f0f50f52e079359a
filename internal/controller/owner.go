package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// leaseLoop keeps this node's lease and with it the shards it owns.
func (c *Controller) leaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(c.maintainLease(ctx))
		select {
		case <-t.C:
		case <-c.leaderlessShard: // its turn may be ours
			sleep(ctx, c.node.settings.ControllerLeaseTTL()/32)
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// maintainLease makes or renews the lease and tends the shards. It tells how long to
// wait before the next step.
func (c *Controller) maintainLease(ctx context.Context) time.Duration {
	ttl := c.node.settings.ControllerLeaseTTL()
	state := c.guard.Lock()
	leaseID := state.leadership.leaseID
	c.guard.Unlock()
	sent := c.node.now()
	var err error
	if leaseID == 0 {
		if leaseID, err = c.store.GrantLease(ctx, ttl); err == nil {
			c.node.log.Info("lease granted", "lease", leaseID)
			state = c.guard.Lock()
			state.leadership.leaseID = leaseID
			c.guard.Unlock()
		}
	} else if err = c.store.RenewLease(ctx, leaseID); errors.Is(err, store.ErrNoLease) {
		c.node.log.Info("lease lost", "lease", leaseID)
		state = c.guard.Lock()
		state.leadership.leaseID, state.leadership.leaseValidUntil = 0, time.Time{}
		clear(state.leadership.byShard)
		clear(state.agents.byHost)
		clear(state.cache.loads)
		c.guard.Unlock()
		return 0
	}
	if err == nil {
		state = c.guard.Lock()
		// Our clock may run slow against the service's: count a little less.
		state.leadership.leaseValidUntil = sent.Add(ttl - ttl/256)
		stale := state.cache.loaded && sent.Sub(state.cache.changesReadAt) > ttl/4
		c.guard.Unlock()
		if stale { // how long we may answer once we are cut off counts from the last read
			_ = c.readNewest(ctx)
		}
		c.maintainLeaderships(ctx)
		return ttl / 4
	}
	return ttl / 10
}

// acquireShard takes a shard: its leader's key under our lease, and a term above all
// that were ever given out, which is the shard's fencing token.
func (c *Controller) acquireShard(ctx context.Context, p string, seen uint64) {
	me := c.node.settings.HostName
	state := c.guard.Lock()
	old, had := state.cache.leaders[p]
	if old.version != seen {
		// Somebody took it since: with the newer version the precondition would hold,
		// and the shard be taken from a living leader.
		c.guard.Unlock()
		return
	}
	rec := state.cache.capacities[p]
	term := state.cache.term + 1
	t := newTransaction()
	t.require(leaderPrefix+p, old.version)
	t.require(termKey, state.cache.versions[termKey])
	t.require(capacityPrefix+p, rec.version)
	t.put(termKey, term)
	t.put(leaderPrefix+p, shard.LeaderRecord{Node: me, Incarnation: c.node.incarnation, Term: term})
	t.leases[leaderPrefix+p] = state.leadership.leaseID
	// An earlier life of this process has ended, and one that released the shard
	// has stopped answering; any other may go on for its grace. So may one before
	// those, if they did not live to see its grace out: the doubt stays with the
	// record, or a quick restart of ours would forget it.
	clean := rec.record == nil || (rec.record.Leader == me || rec.record.Released) && !rec.record.PredecessorInDoubt
	t.put(
		capacityPrefix+p,
		shard.CapacityRecord{Term: term, Leader: me, PredecessorInDoubt: !clean, Free: shard.FreeCapacity{}, QuotaUse: state.capacity.quotaUseOf(p)},
	)
	c.guard.Unlock()
	done, _, err := c.commit(ctx, "part", t, store.PriorityLease)
	if !done {
		c.node.log.Debug("shard not acquired", "shard", p, "err", err)
		if err == nil {
			// Overtaken, by another's take that raised the term as a rule: after
			// the end of all they come at once, and leases run meanwhile.
			c.wakeLeaseLoop()
		}
		return
	}
	state = c.guard.Lock()
	fences := state.agents.beginLeadership(p, term, clean, had)
	c.guard.Unlock()
	c.sendCommands(ctx, fences)
}

// beginLeadership begins the leadership of a shard that was acquired, unless it is lost
// again already. It returns the commands that fence the shard's workers.
func (reg *agentRegistry) beginLeadership(p string, term uint64, clean, hadLeader bool) []directCommand {
	now := reg.node.now()
	v := reg.cache.leaders[p]
	if v.record == nil || v.record.Term != term || reg.leadership.leaseID == 0 {
		return nil
	}
	reg.dropLeadership(p)
	o := &leadership{term: term, version: v.version, predecessorAnswersUntil: now}
	if !clean {
		o.predecessorAnswersUntil = now.Add(reg.node.settings.LeadershipGrace())
	}
	reg.leadership.byShard[p] = o
	reg.node.log.Info("shard acquired", "shard", p, "term", term, "had_leader", hadLeader, "clean", clean)
	var fences []directCommand
	for host, m := range reg.cache.machines {
		if m.Shard != p {
			continue
		}
		reg.of(host, o)
		if command, ok := reg.fence(host); ok {
			fences = append(fences, command)
		}
	}
	reg.wake.notify()
	return fences
}

// dropLeadership forgets a shard that is no longer ours.
func (reg *agentRegistry) dropLeadership(p string) {
	delete(reg.leadership.byShard, p)
	for host := range reg.byHost {
		if m := reg.cache.machines[host]; m == nil || m.Shard == p {
			reg.drop(host)
		}
	}
}

// drop drops a machine's session.
func (reg *agentRegistry) drop(host string) {
	delete(reg.byHost, host)
	delete(reg.cache.loads, host)
}

// of returns the session of a machine of an own shard.
func (reg *agentRegistry) of(host string, o *leadership) *shard.Agent {
	s := reg.byHost[host]
	if s == nil || s.Term != o.term {
		s = shard.NewAgent(o.term, reg.node.now(), o.predecessorAnswersUntil)
		reg.byHost[host] = s
		delete(reg.cache.loads, host)
	}
	return s
}

// releaseShard returns a shard back to its home controller in an orderly way: answers
// stop first, then the release is committed.
func (c *Controller) releaseShard(ctx context.Context, p string) {
	state := c.guard.Lock()
	o, rec := state.leadership.byShard[p], state.cache.capacities[p]
	if o == nil || rec.record == nil {
		c.guard.Unlock()
		return
	}
	o.releasing = true
	t := newTransaction()
	t.require(leaderPrefix+p, o.version)
	t.require(capacityPrefix+p, rec.version)
	t.delete(leaderPrefix + p)
	r := *rec.record
	r.Released = true
	t.put(capacityPrefix+p, r)
	c.guard.Unlock()
	done, _, err := c.commit(ctx, "part", t, store.PriorityLease)
	state = c.guard.Lock()
	defer c.guard.Unlock()
	if done {
		c.node.log.Info("shard released", "shard", p, "term", o.term)
		state.agents.dropLeadership(p)
		return
	}
	// In doubt it stays unanswered until the replica shows who owns it.
	if !errors.Is(err, store.ErrUnknown) {
		o.releasing = false
	}
}

// directCommand is a batch of commands for one worker, to be sent to its address beside its
// heartbeats. It holds one of the slots until it was answered.
type directCommand struct {
	host  string
	addr  string
	term  uint64
	batch api.CommandBatch
	slots chan struct{}
}

// fence prepares the command that tells a worker our fencing token directly, so that an
// earlier leader's answers are dropped from then on; its answer shows what runs there. ok is
// false if the worker has seen this term, was asked a moment ago, or no slot is free.
func (reg *agentRegistry) fence(host string) (command directCommand, ok bool) {
	s := reg.byHost[host]
	if s == nil || s.Fenced || reg.node.now().Sub(s.LastCommandAt) < reg.node.settings.HeartbeatInterval() {
		return directCommand{}, false
	}
	return reg.prepareCommand(host, reg.fenceSlots, api.CommandBatch{AgentEpoch: 1, Commands: []api.Command{}})
}

// prepareCommand prepares commands that may be executed at any later time. ok is false if
// the worker can't be addressed or no slot is free: the next round asks again.
func (reg *agentRegistry) prepareCommand(
	host string, slots chan struct{}, batch api.CommandBatch,
) (command directCommand, ok bool) {
	m, s := reg.cache.machines[host], reg.byHost[host]
	if m == nil || m.Addr == "" || s == nil {
		return directCommand{}, false
	}
	select {
	case slots <- struct{}{}:
	default:
		return directCommand{}, false
	}
	s.LastCommandAt = reg.node.now()
	batch.Token = s.Token()
	return directCommand{host: host, addr: m.Addr, term: s.Term, batch: batch, slots: slots}, true
}

// sendCommands sends prepared commands, each in a goroutine of its own that ends with the
// answer or the client's deadline.
func (c *Controller) sendCommands(ctx context.Context, commands []directCommand) {
	for _, command := range commands {
		c.runAsync(func() { c.sendCommand(ctx, command) })
	}
}

// sendCommand sends commands to a worker and takes in the heartbeat that it answers with. A
// worker of another agent epoch refuses them and is asked once more with the epoch it named.
func (c *Controller) sendCommand(ctx context.Context, command directCommand) {
	defer func() { <-command.slots }()
	for range 2 {
		r, done, err := c.workers.SendCommands(ctx, command.addr, command.batch)
		if err != nil {
			c.node.log.Debug("direct commands not answered", "host", command.host, "err", err)
			return
		}
		state := c.guard.Lock()
		state.agents.acceptAnswer(command.host, command.term, r)
		c.guard.Unlock()
		if done || shard.TokenTerm(r.Token) >= command.term {
			return
		}
		command.batch.AgentEpoch = r.AgentEpoch
	}
}

// acceptAnswer takes in the heartbeat that a worker answered direct commands of a term with.
func (reg *agentRegistry) acceptAnswer(host string, term uint64, r *api.Heartbeat) {
	if s := reg.byHost[host]; s != nil && s.Term == term && r.Host == host {
		reg.acceptHeartbeat(host, s, r)
	}
}

// requestHeartbeats has workers report at once for whom there is something new: a start
// goes only in an answer to a heartbeat, and the next one may be a whole round
// away. A direct command that stops tasks or raises the worker's token makes it
// report; neither does harm whenever it is carried out. (One that only clears
// ended tasks does not make it report.)
func (c *Controller) requestHeartbeats(ctx context.Context) {
	state := c.guard.Lock()
	commands := state.agents.dueHeartbeatRequests(c.node.now())
	c.guard.Unlock()
	c.sendCommands(ctx, commands)
}

// dueHeartbeatRequests prepares the commands that have workers send a heartbeat now, as many
// as there are free slots: the rest follows in the next round.
func (reg *agentRegistry) dueHeartbeatRequests(now time.Time) []directCommand {
	var commands []directCommand
	if !reg.leadership.mayAct(now) {
		return nil
	}
	for host := range reg.heartbeatRequests {
		m := reg.cache.machines[host]
		s := reg.byHost[host]
		if m == nil || reg.leadership.of(m.Shard) == nil || s == nil || !s.Fenced || s.Heartbeat == nil || s.LeaseExpired || s.Terminated ||
			s.Unresponsive {
			delete(reg.heartbeatRequests, host)
			continue
		}
		o := api.CommandBatch{AgentEpoch: s.Heartbeat.AgentEpoch}
		var stop, start bool
		o.Commands, stop, start = reg.immediateCommands(host, s)
		if !stop {
			// Raises that come sooner after one another count as no change: they are
			// kept for starts that nothing else can announce.
			if !start || now.Sub(s.LastTokenChange()) < reg.node.settings.WorkerLease()/2 {
				delete(reg.heartbeatRequests, host)
				continue
			}
			s.RaiseToken(now)
		}
		command, ok := reg.prepareCommand(host, reg.heartbeatRequestSlots, o)
		if !ok {
			break
		}
		commands = append(commands, command)
		delete(reg.heartbeatRequests, host)
	}
	return commands
}

// immediateCommands returns the orders that need not wait for the worker's next heartbeat: they
// may be carried out at any later time, and reports whether there are stops among
// them, and whether there are starts, which have to wait.
func (reg *agentRegistry) immediateCommands(host string, s *shard.Agent) (out []api.Command, stop, start bool) {
	out = []api.Command{}
	listed := map[attemptID]string{}
	for _, p := range s.Heartbeat.Tasks {
		listed[attemptID{task: p.Task, attempt: p.Attempt}] = p.Phase
	}
	for _, pl := range reg.cache.placements[host] {
		j := reg.cache.jobs[pl.uid]
		if j == nil {
			continue
		}
		a := attemptOf(pl, j)
		phase, there := listed[a]
		delete(listed, a)
		switch {
		case !there:
			start = start || j.mayLaunch(pl.placement)
		case j.mustStop(pl.placement) && phase != api.Saving && phase != api.Ended:
			out, stop = append(out, reg.stopCommand(j, a)), true
		}
	}
	for a, phase := range listed {
		if phase == api.Ended {
			out = append(out, api.Command{Action: api.Clear, Task: a.task, Attempt: a.attempt})
		}
	}
	return out, stop, start
}

// stopCommand is the order that stops a task, with time to save if it can and is worth it.
func (reg *agentRegistry) stopCommand(j *liveJob, a attemptID) api.Command {
	leeway := 0.0
	if savesOnStop(j) {
		leeway = j.record.Spec.SaveS * 2
		if isGang(j) {
			leeway += reg.node.settings.GangPeerTimeout().Seconds() // each waits for all others' saves
		}
	}
	return api.Command{Action: api.Stop, Task: a.task, Attempt: a.attempt, GraceS: &leeway}
}

// savesOnStop reports whether tasks of the job that have to leave save their progress first:
// of a gang only if all are told to, for the save fails without one of them.
func savesOnStop(j *liveJob) bool {
	g := j.record.Gang
	return !j.isCancelled() && j.record.Spec.CheckpointS > 0 && (!isGang(j) || g != nil && g.Stopping)
}

// acceptHeartbeat takes in a heartbeat and looks at what it says.
func (reg *agentRegistry) acceptHeartbeat(host string, s *shard.Agent, r *api.Heartbeat) bool {
	old, deaf := s.Heartbeat, s.Unresponsive
	if !s.Accept(r, reg.node.now()) {
		return false
	}
	reg.leadership.noteWorkerHeard(reg.node.now())
	s.LastSeen = reg.node.now()
	if s.Unresponsive && !deaf {
		reg.node.log.Info(
			"worker unresponsive",
			"host",
			host,
			"why",
			"its lease expired although it was answered: no tasks until it obeys a command",
		)
	}
	if old == nil || deaf != s.Unresponsive || old.AgentEpoch != r.AgentEpoch || (old.SpotNoticeS == nil) != (r.SpotNoticeS == nil) ||
		!slices.Equal(old.Tasks, r.Tasks) {
		reg.wake.notify()
	}
	return true
}

// attemptID names a try of a task on the wire.
type attemptID struct {
	task    string
	attempt uint64
}

// attemptOf names the attempt of a placed task of a job.
func attemptOf(pl *placedTask, j *liveJob) attemptID {
	return attemptID{task: pl.taskName(j), attempt: pl.placement.Attempt}
}
