package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/store"
)

// gangClaimChanges is how many changes a gang's claim takes as a rule: its main record and
// the shards' that it is on. As many are left to gangs while there are any.
const gangClaimChanges = 3

// writesReservedForGangs returns how many changes other decisions leave for gangs: some if a
// gang came lately.
func (sch *schedulerState) writesReservedForGangs(now time.Time) float64 {
	for _, l := range sch.capacity.arrivals {
		if n := len(l); n > 0 && l[n-1].spec.Kind == api.Gang && now.Sub(l[n-1].at) < maxStartDelay {
			return gangClaimChanges
		}
	}
	return 0
}

// gangClaim is room for all tasks of a gang that lack some.
type gangClaim struct {
	uid        string
	placements []placement
}

// gangSearch is a gang in a plan: all or nothing.
type gangSearch struct {
	job      *waitingJob
	hosts    []*sched.Host // nil entries: not found
	zone     string        // of a gang whose tasks go together
	outlook  roomOutlook   // how it can get its room there
	reserved bool          // the seats found are kept from others though they are not all
	placed   int           // places that it has already
}

// roomOutlook is how a gang can get its room in a zone, the best first. Only the zone that is
// chosen is rented and preempted in, so one that just happens to have most room free, but
// can have no more, must not be.
type roomOutlook int

const (
	roomAvailable    roomOutlook = iota
	roomComing                   // with what is being left, and boots
	roomByPreemption             // with what lower ranks have
	roomByRental                 // with machines that can be rented
	roomNowhere                  // not as things stand
)

// outlookOf returns how a gang that lacks room in a zone, even with what is coming, can get
// it.
func (sch *schedulerState) outlookOf(l *waitingJob, a *sched.TaskRequest, all []*sched.Host, n int, now time.Time) roomOutlook {
	if sched.CountFits(sch.room.withPreemptibleRoom(all, l.entry.priority), a, n) >= n {
		return roomByPreemption
	}
	for _, o := range sch.catalog.availableOffers(now) {
		if a.Allows(o.MachineType, o.Zone, o.Spot) {
			return roomByRental
		}
	}
	return roomNowhere
}

// candidateZones lists the zones that a gang whose tasks go together may choose from, this
// node's first; one that is bound, or that may go anywhere, has one choice.
func (sch *schedulerState) candidateZones(l *waitingJob) []string {
	r := &l.entry.job.record.Spec
	if !r.Together || l.zones.zone != "" || r.Zone != "" {
		return []string{""}
	}
	out := []string{sch.node.settings.Zone}
	for _, z := range sch.node.settings.Facts.Zones {
		if z != sch.node.settings.Zone {
			out = append(out, z)
		}
	}
	return out
}

// hostsInOrder returns the machines with room by shard: the gang's own first, then the peers'
// in random order.
func (sch *schedulerState) hostsInOrder(hosts map[string][]*sched.Host, own string) [][]*sched.Host {
	var peers []string
	for _, p := range slices.Sorted(maps.Keys(hosts)) {
		if p != own {
			peers = append(peers, p)
		}
	}
	sch.node.random.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	out := [][]*sched.Host{hosts[own]}
	for _, p := range peers {
		out = append(out, hosts[p])
	}
	return out
}

// findGangRoom looks for room for all of a gang's tasks that have none, in the zone where they
// start soonest. What is found for a gang that can't be complete is kept from others
// only when the room that is coming completes it.
func (sch *schedulerState) findGangRoom(l *waitingJob, hosts map[string][]*sched.Host, all, coming []*sched.Host, now time.Time) *gangSearch {
	j := l.entry.job
	n := len(l.tasks)
	x := &gangSearch{job: l, placed: j.countPlaced()}
	shards := sch.hostsInOrder(hosts, j.record.Shard)
	flat := slices.Concat(shards...)
	better := func(seats []*sched.Host, how roomOutlook, than []*sched.Host) bool {
		if than == nil {
			return true
		}
		if how != x.outlook {
			return how < x.outlook
		}
		if a, b := sched.CountUnassigned(seats), sched.CountUnassigned(than); a != b {
			return a < b
		}
		if a, b := sched.StartDelay(seats, &l.request), sched.StartDelay(than, &l.request); a != b {
			return a < b
		}
		return sched.CountShards(seats) < sched.CountShards(than)
	}
	soon := false // with what is coming it would be complete
	zones := sch.candidateZones(l)
	for _, zone := range zones {
		a := l.request
		if zone != "" {
			a.Zone = zone
		}
		free := sched.CountFits(flat, &a, n)
		will := free + sched.CountFits(coming, &a, n-free)
		for _, h := range flat { // and what is on its way out
			if a.Allows(h.MachineType, h.Zone, h.Spot) && will < n {
				away := *h
				away.Free = sch.room.loadOf(h.Name).stopping
				will += sched.CountFits([]*sched.Host{&away}, &a, n-will)
			}
		}
		soon = soon || will >= n
		how := roomByRental
		switch {
		case free >= n:
			how = roomAvailable
		case will >= n:
			how = roomComing
		case len(zones) > 1:
			how = sch.outlookOf(l, &a, all, n, now)
		}
		if free == 0 || will < n { // a quick look, for one that is far too large
			if none := make([]*sched.Host, n); better(none, how, x.hosts) {
				x.hosts, x.zone, x.outlook = none, zone, how
			}
			continue
		}
		// Part after part, or all as one: a fetch takes longer than another shard's capacity record
		// to be changed, and the last task decides when all start.
		for _, by := range [][][]*sched.Host{shards, {flat}} {
			z := sch.zoneConstraintOf(j, l.zones.admission.trial())
			var seats []sched.GangTask
			for _, t := range l.tasks {
				seats = append(
					seats,
					sched.GangTask{
						ZoneAllowed: func(s string) bool { return z.allows(t.rangeIndex, s) },
						Assigned:    func(s string) { z.add(t.rangeIndex, s) },
					},
				)
			}
			found := sched.AssignGang(by, &a, seats)
			sched.Unassign(found, &a)
			if better(found, how, x.hosts) {
				x.hosts, x.zone, x.outlook = found, zone, how
			}
			if sched.CountUnassigned(found) == 0 && sched.StartDelay(found, &a) == 0 {
				break // as soon as can be
			}
		}
	}
	missing := sched.CountUnassigned(x.hosts)
	x.reserved = missing == 0 || soon
	if x.reserved {
		for i, h := range x.hosts {
			if h != nil {
				h.Free = h.Free.Sub(l.request.Need)
				l.zones.add(l.tasks[i].rangeIndex, h.Zone)
			}
		}
	}
	if j.record.Spec.Together && l.zones.zone == "" && missing > 0 {
		l.zones.zone = x.zone // what is missing is looked for, and rented, there
	}
	return x
}

// claim returns the placements of a search that found all.
func (x *gangSearch) claim() *gangClaim {
	out := &gangClaim{uid: x.job.entry.uid}
	for i, h := range x.hosts {
		t := x.job.tasks[i]
		out.placements = append(out.placements, placementOf(x.job.entry.uid, t, h))
	}
	return out
}

// gangTransaction claims room for a gang: all that fits one transaction. If then all of its
// tasks have a place the same write lets the workers start them, else what was claimed
// is only held. It returns no transaction when the room is gone.
func (sch *schedulerState) gangTransaction(g *gangClaim, now time.Time) (t *transaction, rest []placement, said [][]any) {
	j := sch.cache.jobs[g.uid]
	if j == nil || !j.record.Gang.AcceptsPlacements() && j.countPlaced() > 0 {
		return nil, nil, nil
	}
	e := sch.schema.newRecordEditor()
	e.maxChanges = sch.schema.transactionLimits().TxnOps
	cl := &claims{accounts: sch.capacity, byShard: map[string]*claim{}}
	z := sch.zoneConstraintOf(j, sch.zones.admission(now))
	placed := j.countPlaced()
	var try uint64
	n := 0
	for i, x := range g.placements {
		k, more, ok := cl.tryClaim(x, now)
		if k == nil || !z.allows(x.rangeIndex, x.host.Zone) {
			return nil, nil, nil // all or nothing: planned anew
		}
		if more += e.rangeCost(j, x.rangeIndex); more > 0 && e.isFull(more, cl.otherChanges) {
			rest = g.placements[i:]
			break
		}
		ok()
		sch.leadership.require(e.txn, j.record.Shard)
		ch := e.taskRange(j, x.rangeIndex)
		m := e.record(j)
		if n == 0 {
			if m.Gang == nil {
				m.Gang = &job.Gang{}
			}
			was := m.Gang.Attempt
			if try = m.Gang.BeginAttempt(placed); try != was {
				m.Zone = ""
			}
		}
		if j.record.Spec.Together && m.Zone == "" {
			m.Zone = x.host.Zone
		}
		if s := sch.agents.byHost[x.host.Name]; s != nil && s.EndedAttempts[placementKey(g.uid, x.rangeIndex, x.index)].Attempt == try {
			return nil, nil, nil // that attempt of the task is over on that machine
		}
		ch.PlaceAttempt(x.index, x.host.Name, try, max(0, (now.UnixMilli()-j.record.AcceptedMS)/1000))
		z.add(x.rangeIndex, x.host.Zone)
		n++
		said = append(
			said,
			[]any{
				"task",
				api.TaskName(g.uid, x.rangeIndex*j.record.RangeSize+x.index),
				"attempt",
				try,
				"host",
				x.host.Name,
				"shard",
				x.host.Shard,
				"own",
				x.host.Shard == j.record.Shard,
				"image",
				j.record.Spec.Image,
				"warm",
				x.host.Images[j.record.Spec.Image],
			},
		)
	}
	if n == 0 {
		return nil, nil, nil
	}
	if placed+n == j.record.Spec.Tasks {
		e.record(j).Gang.Launch(max(0, (now.UnixMilli()-j.record.AcceptedMS)/1000))
	}
	t = e.transaction()
	if e.outgrown {
		return nil, nil, nil
	}
	cl.write(t)
	return t, rest, said
}

// commitGangClaim commits a gang's claim, in as many steps as it takes.
func (c *Controller) commitGangClaim(ctx context.Context, g *gangClaim) {
	for tries := 0; len(g.placements) > 0 && tries < 3; {
		if c.store.AwaitWrites(ctx, min(gangClaimChanges, c.node.settings.LowestLimits().TxnOps), store.PriorityGang) < 2 || !c.mayActNow() ||
			c.readNewest(ctx) != nil {
			return
		}
		state := c.guard.Lock()
		t, rest, said := state.scheduler.gangTransaction(g, c.node.now())
		c.guard.Unlock()
		if t == nil {
			return
		}
		done, _, err := c.commit(ctx, "gangs", t, store.PriorityGang)
		switch {
		case done:
			g.placements, tries = rest, 0
			for _, l := range said {
				c.node.log.Info("task placed", l...)
			}
			state = c.guard.Lock()
			state.scheduler.gangStateOf(g.uid).retry.Claimed()
			c.guard.Unlock()
		case err == nil:
			tries++
		default:
			return
		}
	}
}

// gangLoop places gangs as they are accepted, beside the decisions that wait for their
// changes. What both write at once is decided by the state service.
func (c *Controller) gangLoop(ctx context.Context) {
	for {
		select {
		case <-c.gangAccepted:
			c.placeNewGangs(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// placeNewGangs places gangs that came while other decisions wait for their changes: all
// tasks of one start with the last, so each second counts as often as it has tasks. One
// that finds no room is not looked at again for a while out of turn.
func (c *Controller) placeNewGangs(ctx context.Context) {
	now := c.node.now()
	state := c.guard.Lock()
	var claims []*gangClaim
	some := false
	reserved := state.scheduler.writesReservedForGangs(now)
	for uid := range state.cache.gangs {
		j := state.cache.jobs[uid]
		if j.record.Cancelled || state.leadership.of(j.record.Shard) == nil || len(j.pendingTasks()) == 0 {
			continue
		}
		if g := state.scheduler.gangStateOf(uid); now.Sub(g.lookedAt) > 8*c.node.settings.DecisionInterval() {
			g.lookedAt, some = now, true
		}
	}
	if some && state.leadership.mayAct(now) {
		claims = state.scheduler.plan(now).gangs
	}
	c.guard.Unlock()
	c.store.ReserveForGangs(reserved)
	for _, g := range claims {
		c.commitGangClaim(ctx, g)
	}
}

// noteGangMiss notes that a gang found no room for all its tasks. One that holds some
// releases its claims after too many misses in a row.
func (sch *schedulerState) noteGangMiss(x *gangSearch, now time.Time) {
	uid := x.job.entry.uid
	if x.job.entry.job.gangPhase() == job.GangReserving && sch.gangStateOf(uid).retry.Missed(now) {
		sch.gangsToRelease[uid] = true
		sch.wake.notify()
	}
}

// startDelay estimates how long a start on a machine waits for the worker's next heartbeat:
// one whose token was raised a moment ago can't be made to report by another raise. On a
// peer's machine that is so if a task was placed there.
func (mr *machineRoom) startDelay(host string, l *machineLoad, now time.Time) float64 {
	raised := time.UnixMilli(l.lastPlacedMS)
	if s := mr.agents.byHost[host]; s != nil {
		raised = s.LastTokenChange()
	}
	if now.Sub(raised) < mr.node.settings.WorkerLease()/2 {
		return mr.node.settings.HeartbeatInterval().Seconds() / 2
	}
	return 0
}
