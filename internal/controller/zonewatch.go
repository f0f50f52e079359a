package controller

import (
	"context"
	"maps"
	"net/url"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/features"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/store"
	"violetturn/internal/zonehealth"
)

// production is the priority of production work.
const production = 0

// zoneWatch is what this node sees of zones.
type zoneWatch struct {
	at     time.Time                              // when it last looked
	sights map[string]map[string]zonehealth.Sight // by zone and own part
	open   map[string]bool                        // machines of returning zones where tasks start again in place
}

// switchedOn tells whether a feature is on: here, and at every configured controller, living
// or not, as its mark says. One that shows itself without it, because it was started without
// or is of a version that doesn't know it, has it off everywhere. Call with the lock held.
func (c *Controller) switchedOn(name string) bool {
	if !slices.Contains(c.features.Names(), name) {
		return false
	}
	for _, x := range c.parts {
		mark, node := c.replica.marks[x].v, c.replica.nodes[x].v
		if mark == nil || !slices.Contains(mark.Features, name) || node != nil && !slices.Contains(node.Features, name) {
			return false
		}
	}
	return c.upgraded()
}

// zoneLimits gives the bounds between the states of zones.
func (c *Controller) zoneLimits() *zonehealth.Limits {
	z := &c.features.ZoneRecovery
	leases := func(n float64) time.Duration { return time.Duration(n * float64(c.cfg.Lease())) }
	return &zonehealth.Limits{
		SuspectShare: z.SuspectShare,
		DownShare:    z.DownShare,
		Confirm:      leases(z.Confirm),
		FirstShare:   z.FirstShare,
		LeastShare:   z.LeastShare,
		DoubleEvery:  leases(z.DoubleEvery),
		Longest:      leases(z.Longest),
	}
}

// zoneRound looks at the zones once in a report round and commits what has changed. It
// changes nothing but zones' records, each on the version that it judged by and on this
// node's ownership of a part: one that wakes late, or was replaced, is refused.
func (c *Controller) zoneRound(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	if now.Sub(c.zoneWatch.at) < c.cfg.Report() || !c.switchedOn(features.ZoneRecoveryName) {
		c.mu.Unlock()
		return false
	}
	sights, up := c.zoneSights(now)
	c.zoneWatch = zoneWatch{at: now, sights: sights}
	c.zoneWatch.open = c.openHosts(up, now)
	t := newTxn()
	changed := map[string]zonehealth.Record{}
	for _, zone := range slices.Sorted(maps.Keys(c.zoneWatch.sights)) {
		if next, ok := c.judgeZone(zone, now); ok && t.ops() < c.limits().TxnOps {
			id := url.PathEscape(zone)
			t.guard(zoneKey+id, c.replica.zones[id].stamp)
			t.write(zoneKey+id, next)
			changed[zone] = next
		}
	}
	for p := range c.mine {
		c.guardOwn(t, p)
	}
	c.mu.Unlock()
	if len(changed) == 0 {
		return false
	}
	if done, _, _ := c.commit(ctx, "zones", t, store.Decision); done {
		c.logZones(changed)
		c.poke()
	}
	return false
}

func (c *Controller) logZones(changed map[string]zonehealth.Record) {
	for _, zone := range slices.Sorted(maps.Keys(changed)) {
		r := changed[zone]
		sum := r.Sum()
		c.log.Info(
			"zone", "zone", zone, "state", r.State, "number", r.Number, "up", sum.Up, "lost", sum.Lost,
			"unclear", sum.Unclear, "waiting", r.Waiting(), "start", r.Start,
		)
	}
}

// judgeZone gives a zone's record as it is to be, and whether that is to be written. Call
// with the lock held.
func (c *Controller) judgeZone(zone string, now time.Time) (next zonehealth.Record, changed bool) {
	limits := c.zoneLimits()
	var was zonehealth.Record
	if v := c.replica.zones[url.PathEscape(zone)].v; v != nil {
		was = *v
	}
	owns, seen := false, was
	for p, sight := range c.zoneWatch.sights[zone] {
		owns = true
		old, told := was.Sights[p]
		if !was.Restricts() && was.State != zonehealth.Suspect && sight.LostShare() < limits.SuspectShare/2 {
			sight = zonehealth.Sight{} // all is well: that needs no record
		}
		if told != !sight.Empty() || !sight.Equal(old) {
			seen, changed = seen.With(p, sight), true
		}
	}
	if !owns {
		return was, false
	}
	next = seen.Judge(now, c.witness(zone, now), limits)
	return next, changed || next.State != was.State
}

// witness tells whether this node can say that a zone is down, not itself cut off: it hears
// workers now, and it or a peer at home in another zone hears some of another zone. Call with
// the lock held.
func (c *Controller) witness(zone string, now time.Time) bool {
	if c.contact.mute || now.Sub(c.contact.at) > 2*c.cfg.Report() {
		return false
	}
	for other, sights := range c.zoneWatch.sights {
		up, lost := 0, 0
		for _, s := range sights {
			up, lost = up+s.Up, lost+s.Lost
		}
		all := zonehealth.Sight{Up: up, Lost: lost}
		if other != zone && up > 0 && all.LostShare() < c.features.ZoneRecovery.SuspectShare {
			return true
		}
	}
	for _, m := range c.cfg.Members {
		if n := c.replica.nodes[m.HostName].v; m.Site != zone && n != nil && n.Hear {
			return true
		}
	}
	return false
}

// zoneSights looks at the machines of own parts, by zone, and lists those that are up. Call
// with the lock held.
func (c *Controller) zoneSights(now time.Time) (out map[string]map[string]zonehealth.Sight, up map[string][]string) {
	out, up = map[string]map[string]zonehealth.Sight{}, map[string][]string{}
	for _, zone := range c.cfg.Facts.Zones {
		out[zone] = map[string]zonehealth.Sight{}
		for p := range c.mine {
			if c.owned(p) != nil {
				out[zone][p] = zonehealth.Sight{Refused: c.refusedIn(zone, now)}
			}
		}
	}
	waiting := map[string]map[string]map[zonehealth.Demand]int{}
	for host, m := range c.replica.hosts {
		s, seen := c.sessions[host], out[m.Zone]
		if seen == nil || s == nil || c.owned(m.Part) == nil {
			continue
		}
		sight := seen[m.Part]
		what := c.seenOf(host, m, s, now)
		switch what {
		case machineUnclear:
			sight.Unclear++
		case machineUp:
			sight.Up++
			up[m.Zone] = append(up[m.Zone], host)
		case machineLost:
			sight.Lost++
		}
		// Until its end is committed a task is placed, and waits in no queue: room for it is
		// kept also while a new owner has not heard of its machine yet, and when the machine
		// is known to be gone.
		if what != machineUp {
			c.addWaiting(waiting, host, m)
		}
		seen[m.Part] = sight
	}
	for zone, parts := range waiting {
		for p, tasks := range parts {
			sight := out[zone][p]
			sight.Waiting = demands(tasks)
			out[zone][p] = sight
		}
	}
	return out, up
}

// machineSight is what an owner sees of a machine.
type machineSight int

const (
	machineIgnored machineSight = iota // it boots, or is going back
	machineUnclear                     // not heard of yet under this owner
	machineUp
	machineLost
)

// seenOf tells what an owner sees of a machine. Call with the lock held.
func (c *Controller) seenOf(host string, m *shard.Machine, s *shard.Session, now time.Time) machineSight {
	patience := 2 * c.cfg.Report() // who reports at all has done so
	switch {
	case s.Gone, s.Drain && now.Sub(s.Seen) > patience:
		return machineIgnored
	case s.Fenced && s.Deaf:
		return machineLost
	case s.Fenced && now.Sub(s.Seen) <= patience:
		return machineUp
	case s.Fenced:
		return machineLost
	}
	// Never heard under this term. One that has tasks was up before.
	_, machineType := c.capOf(m.MachineType)
	age := float64(now.UnixMilli()-m.AtMS) / 1000
	boots := len(c.replica.onHost[host]) == 0 && (machineType == nil || age <= 2*machineType.BootS || c.booting[host])
	switch {
	case boots:
		return machineIgnored
	case now.Sub(s.Since) <= patience:
		return machineUnclear
	}
	return machineLost
}

// addWaiting counts the production tasks of a machine that is not heard. Call with the lock held.
func (c *Controller) addWaiting(waiting map[string]map[string]map[zonehealth.Demand]int, host string, m *shard.Machine) {
	for _, pl := range c.replica.onHost[host] {
		j := c.replica.jobs[pl.uid]
		if j == nil || j.leaves(pl.p) {
			continue
		}
		if priority, _ := api.PriorityOf(j.main.Spec.Priority); priority != production {
			continue
		}
		if waiting[m.Zone] == nil {
			waiting[m.Zone] = map[string]map[zonehealth.Demand]int{}
		}
		if waiting[m.Zone][m.Part] == nil {
			waiting[m.Zone][m.Part] = map[zonehealth.Demand]int{}
		}
		kind := demandKind(&j.main.Spec)
		waiting[m.Zone][m.Part][kind]++
	}
}

// refusedIn tells whether the cloud refuses all that it could rent in a zone. Call with the
// lock held.
func (c *Controller) refusedIn(zone string, now time.Time) bool {
	offered := false
	for _, o := range c.offers(now) {
		offered = offered || o.Zone == zone
	}
	return len(c.machineTypes) > 0 && !offered
}

// mostDemandSizes bounds the sizes of tasks in a zone's record: there are few.
const mostDemandSizes = 8

// demands lists tasks by size, those of most first.
func demands(tasks map[zonehealth.Demand]int) []zonehealth.Demand {
	out := make([]zonehealth.Demand, 0, len(tasks))
	for kind, n := range tasks {
		kind.Tasks = n
		out = append(out, kind)
	}
	slices.SortFunc(out, func(a, b zonehealth.Demand) int {
		if a.Tasks != b.Tasks {
			return b.Tasks - a.Tasks
		}
		return slices.Compare(a.Need[:], b.Need[:])
	})
	return out[:min(len(out), mostDemandSizes)]
}

func demandKind(spec *api.Job) zonehealth.Demand {
	return zonehealth.Demand{Need: shard.Vec(need(spec)), Spot: spec.Spot}
}

// zoneName gives the zone of a record's key.
func zoneName(id string) string {
	name, err := url.PathUnescape(id)
	if err != nil {
		return id
	}
	return name
}

// typeSizes gives the sizes of all machine types. Call with the lock held.
func (c *Controller) typeSizes() []sched.Resources {
	out := make([]sched.Resources, 0, len(c.machineTypes))
	for i := range c.machineTypes {
		f := &c.machineTypes[i]
		out = append(out, sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB})
	}
	return out
}
