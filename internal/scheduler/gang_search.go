package scheduler

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// GangClaimChanges is how many changes a gang's claim takes as a rule: its main record and
// the shards' that it is on. As many are left to gangs while there are any.
const GangClaimChanges = 3

// WritesReservedForGangs returns how many changes other decisions leave for gangs: some if a
// gang came lately.
func (sch *Scheduler) WritesReservedForGangs(now time.Time) float64 {
	for _, l := range sch.capacity.Arrivals {
		if n := len(l); n > 0 && l[n-1].Spec.Kind == api.Gang && now.Sub(l[n-1].At) < MaxStartDelay {
			return GangClaimChanges
		}
	}
	return 0
}

// GangClaim is room for all tasks of a gang that lack some.
type GangClaim struct {
	UID        string
	Placements []capacity.Placement
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
func (sch *Scheduler) outlookOf(l *waitingJob, a *sched.TaskRequest, all []*sched.Host, n int, now time.Time) roomOutlook {
	if sched.CountFits(sch.room.WithPreemptibleRoom(all, l.entry.Priority), a, n) >= n {
		return roomByPreemption
	}
	for _, o := range sch.catalog.AvailableOffers(now) {
		if a.Allows(o.MachineType, o.Zone, o.Spot) {
			return roomByRental
		}
	}
	return roomNowhere
}

// candidateZones lists the zones that a gang whose tasks go together may choose from, this
// node's first; one that is bound, or that may go anywhere, has one choice.
func (sch *Scheduler) candidateZones(l *waitingJob) []string {
	r := &l.entry.Job.Record.Spec
	if !r.Together || l.zones.zone != "" || r.Zone != "" {
		return []string{""}
	}
	out := []string{sch.node.Settings.Zone}
	for _, z := range sch.node.Settings.Facts.Zones {
		if z != sch.node.Settings.Zone {
			out = append(out, z)
		}
	}
	return out
}

// hostsInOrder returns the machines with room by shard: the gang's own first, then the peers'
// in random order.
func (sch *Scheduler) hostsInOrder(hosts map[string][]*sched.Host, own string) [][]*sched.Host {
	var peers []string
	for _, p := range slices.Sorted(maps.Keys(hosts)) {
		if p != own {
			peers = append(peers, p)
		}
	}
	sch.node.Random.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	out := [][]*sched.Host{hosts[own]}
	for _, p := range peers {
		out = append(out, hosts[p])
	}
	return out
}

// findGangRoom looks for room for all of a gang's tasks that have none, in the zone where they
// start soonest. What is found for a gang that can't be complete is kept from others
// only when the room that is coming completes it.
func (sch *Scheduler) findGangRoom(l *waitingJob, hosts map[string][]*sched.Host, all, coming []*sched.Host, now time.Time) *gangSearch {
	j := l.entry.Job
	n := len(l.tasks)
	x := &gangSearch{job: l, placed: j.CountPlaced()}
	shards := sch.hostsInOrder(hosts, j.Record.Shard)
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
				away.Free = sch.room.LoadOf(h.Name).Stopping
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
			z := sch.zoneConstraintOf(j, l.zones.admission.Trial())
			var seats []sched.GangTask
			for _, t := range l.tasks {
				seats = append(
					seats,
					sched.GangTask{
						ZoneAllowed: func(s string) bool { return z.Allows(t.RangeIndex, s) },
						Assigned:    func(s string) { z.Add(t.RangeIndex, s) },
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
				l.zones.Add(l.tasks[i].RangeIndex, h.Zone)
			}
		}
	}
	if j.Record.Spec.Together && l.zones.zone == "" && missing > 0 {
		l.zones.zone = x.zone // what is missing is looked for, and rented, there
	}
	return x
}

// claim returns the placements of a search that found all.
func (x *gangSearch) claim() *GangClaim {
	out := &GangClaim{UID: x.job.entry.UID}
	for i, h := range x.hosts {
		t := x.job.tasks[i]
		out.Placements = append(out.Placements, placementOf(x.job.entry.UID, t, h))
	}
	return out
}

// GangTransaction claims room for a gang: all that fits one transaction. If then all of its
// tasks have a place the same write lets the workers start them, else what was claimed
// is only held. It returns no transaction when the room is gone.
func (sch *Scheduler) GangTransaction(g *GangClaim, now time.Time) (t *statecache.Transaction, rest []capacity.Placement, said [][]any) {
	j := sch.cache.Jobs[g.UID]
	if j == nil || !j.Record.Gang.AcceptsPlacements() && j.CountPlaced() > 0 {
		return nil, nil, nil
	}
	e := sch.schema.NewRecordEditor()
	e.MaxChanges = sch.schema.TransactionLimits().TxnOps
	cl := &capacity.Claims{Accounts: sch.capacity, ByShard: map[string]*capacity.Claim{}}
	z := sch.zoneConstraintOf(j, sch.zones.Admission(now))
	placed := j.CountPlaced()
	var try uint64
	n := 0
	for i, x := range g.Placements {
		k, more, ok := cl.TryClaim(x, now)
		if k == nil || !z.Allows(x.RangeIndex, x.Host.Zone) {
			return nil, nil, nil // all or nothing: planned anew
		}
		if more += e.RangeCost(j, x.RangeIndex); more > 0 && e.IsFull(more, cl.OtherChanges) {
			rest = g.Placements[i:]
			break
		}
		ok()
		sch.leadership.Require(e.Txn, j.Record.Shard)
		ch := e.TaskRange(j, x.RangeIndex)
		m := e.Record(j)
		if n == 0 {
			if m.Gang == nil {
				m.Gang = &job.Gang{}
			}
			was := m.Gang.Attempt
			if try = m.Gang.BeginAttempt(placed); try != was {
				m.Zone = ""
			}
		}
		if j.Record.Spec.Together && m.Zone == "" {
			m.Zone = x.Host.Zone
		}
		if s := sch.agents.ByHost[x.Host.Name]; s != nil && s.EndedAttempts[statecache.PlacementKey(g.UID, x.RangeIndex, x.Index)].Attempt == try {
			return nil, nil, nil // that attempt of the task is over on that machine
		}
		ch.PlaceAttempt(x.Index, x.Host.Name, try, max(0, (now.UnixMilli()-j.Record.AcceptedMS)/1000))
		z.Add(x.RangeIndex, x.Host.Zone)
		n++
		said = append(
			said,
			[]any{
				"task",
				api.TaskName(g.UID, x.RangeIndex*j.Record.RangeSize+x.Index),
				"attempt",
				try,
				"host",
				x.Host.Name,
				"shard",
				x.Host.Shard,
				"own",
				x.Host.Shard == j.Record.Shard,
				"image",
				j.Record.Spec.Image,
				"warm",
				x.Host.Images[j.Record.Spec.Image],
			},
		)
	}
	if n == 0 {
		return nil, nil, nil
	}
	if placed+n == j.Record.Spec.Tasks {
		e.Record(j).Gang.Launch(max(0, (now.UnixMilli()-j.Record.AcceptedMS)/1000))
	}
	t = e.Transaction()
	if e.Outgrown {
		return nil, nil, nil
	}
	cl.Write(t)
	return t, rest, said
}

// noteGangMiss notes that a gang found no room for all its tasks. One that holds some
// releases its claims after too many misses in a row.
func (sch *Scheduler) noteGangMiss(x *gangSearch, now time.Time) {
	uid := x.job.entry.UID
	if x.job.entry.Job.GangPhase() == job.GangReserving && sch.GangStateOf(uid).Retry.Missed(now) {
		sch.GangsToRelease[uid] = true
		sch.wake.Notify()
	}
}
