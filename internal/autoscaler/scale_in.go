package autoscaler

import (
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/catalog"
	"violetturn/internal/cloud"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// MachinesToReturn returns the machines of own shards that are to be returned. On the way it fences
// those that have not heard of this owner, and judges which are to go.
func (as *Autoscaler) MachinesToReturn(now time.Time) (back []string, fences []agent.DirectCommand) {
	if !as.leadership.MayAct(now) {
		return nil, nil
	}
	view := &ScaleInView{Autoscaler: as, Now: now}
	// What is idle or loose is judged against a plan of all machines, which is the dearest
	// thing that a controller works out. Against a boot it may wait a little.
	judge := now.Sub(as.scaleInCheckedAt) >= as.catalog.ShortestBoot()/16
	if judge {
		as.scaleInCheckedAt = now
	}
	for host, m := range as.cache.Machines {
		o := as.leadership.InForce(m.Shard)
		rec := as.cache.Capacities[m.Shard].Record
		if o == nil || rec == nil {
			continue
		}
		s := as.agents.Of(host, o)
		if s.Terminated {
			continue
		}
		// One that boots hears nothing and hangs the connection; all are fenced
		// once when the shard is taken, for the list is late.
		if !s.Fenced() && !as.agents.Provisioning[host] {
			if command, ok := as.agents.Fence(host); ok {
				fences = append(fences, command)
			}
		}
		if judge {
			as.ConsiderScaleIn(host, m, s, view)
		}
		_, offered := rec.Free[host]
		silent := now.Sub(s.LastSeen) > 2*as.node.Settings.HeartbeatInterval()
		terminated := s.MissingFromLists >= 2 && silent // says the list; the return proves it
		if terminated || s.Cordoned && !offered && len(as.cache.Placements[host]) == 0 {
			back = append(back, host)
		}
	}
	slices.Sort(back)
	return back[:min(len(back), cloud.MaxReturn)], fences
}

// ScaleInView is what judging a round of machines needs to know of all of them,
// worked out once if one of them asks.
type ScaleInView struct {
	Autoscaler   *Autoscaler
	Now          time.Time
	Hosts        []*sched.Host            // with the room that is left after what is to be placed
	replicaHosts map[string][]*sched.Host // by zone, those of them with replicas
	headroom     map[string]bool          // idle ones that the headroom needs
	reserved     map[string]bool          // those that wait for the rest of a gang's room
}

func (v *ScaleInView) remaining() []*sched.Host {
	if v.Hosts == nil {
		p := v.Autoscaler.scheduler.Plan(v.Now)
		v.Hosts, v.reserved = p.Remaining, p.ReservedHosts
	}
	return v.Hosts
}

// replicas returns the machines with replicas in a zone.
func (v *ScaleInView) replicas(zone string) []*sched.Host {
	if v.replicaHosts == nil {
		v.replicaHosts = map[string][]*sched.Host{}
		for _, h := range v.remaining() {
			if h.Services > 0 {
				v.replicaHosts[h.Zone] = append(v.replicaHosts[h.Zone], h)
			}
		}
	}
	return v.replicaHosts[zone]
}

// FitElsewhere reports whether the tasks would all fit on other machines with replicas in
// the zone that have their images. It leaves the view as it was.
func (v *ScaleInView) FitElsewhere(host, zone string, asks []sched.TaskRequest) bool {
	others := v.replicas(zone)
	var was []sched.Host // as they were, with what was tried on them
	var tried []*sched.Host
	put := func(h *sched.Host, free sched.Resources) {
		was, tried = append(was, *h), append(tried, h)
		h.Free = free
	}
	defer func() {
		for i := len(tried) - 1; i >= 0; i-- {
			*tried[i] = was[i]
		}
	}()
	for _, h := range others {
		if h.Name == host {
			put(h, sched.Resources{})
		}
	}
	for i := range asks {
		h := sched.FullestFit(others, &asks[i])
		if h == nil || !h.Images[asks[i].Image] {
			return false
		}
		put(h, h.Free.Sub(asks[i].Need))
	}
	return true
}

// inHeadroom reports whether a machine is part of the headroom.
func (v *ScaleInView) inHeadroom(host string) bool {
	if v.headroom == nil {
		v.headroom = v.Autoscaler.headroomMachines(v.remaining(), v.Now)
	}
	return v.headroom[host] || v.reserved[host]
}

// ConsiderScaleIn decides whether a machine is to be returned.
func (as *Autoscaler) ConsiderScaleIn(host string, m *shard.Machine, s *agent.Agent, view *ScaleInView) {
	now := view.Now
	_, f := as.catalog.MachineCapacity(m.MachineType)
	if f == nil || s.Cordoned {
		return
	}
	startup := time.Duration(f.BootS * float64(time.Second))
	drain := func(why string) {
		s.Cordoned = true
		as.node.Log.Info("machine cordoned", "host", host, "why", why)
		as.wake.Notify()
	}
	if !s.Fenced() {
		// It has had time to boot, and since this owner took the shard time to
		// answer a fence: what an earlier leader waited says nothing of a machine
		// that came up under it, but one that was lost under it must not be given
		// the time of a whole boot once more.
		if now.Sub(time.UnixMilli(m.RegisteredMS)) > 4*startup+as.node.Settings.WorkerLease() && now.Sub(s.CreatedAt) > 2*as.node.Settings.WorkerLeaseBound() {
			drain("never came up, or silent since before the part was taken")
		}
		return
	}
	if s.LeaseExpired {
		// A machine that is just up may be fenced before its first report was
		// ever answered: it counts from the fence.
		if now.Sub(s.LastAnswered) > 2*as.node.Settings.WorkerLeaseBound() && now.Sub(s.LastSeen) > 2*as.node.Settings.WorkerLeaseBound() {
			drain("silent for long")
		}
		return
	}
	if as.room.UnfinishedTasks(host) > 0 ||
		s.Heartbeat != nil && slices.ContainsFunc(s.Heartbeat.Tasks, func(p api.TaskState) bool { return p.Phase != api.Ended }) {
		s.IdleSince = time.Time{}
		if !as.canMigrate(host, startup, view) {
			s.UnderusedSince = time.Time{}
		} else if s.UnderusedSince.IsZero() {
			s.UnderusedSince = now
		} else if now.Sub(s.UnderusedSince) > 2*startup && now.Sub(as.migratedAt) > startup {
			as.migratedAt = now
			drain("its replicas fit elsewhere")
		}
		return
	}
	if s.IdleSince.IsZero() {
		s.IdleSince = now
	}
	if as.zones.RestrictedZone(m.Zone, now) != nil {
		return // it is idle because room is kept, or work held back, that will want it soon
	}
	if now.Sub(s.IdleSince).Seconds() > as.node.Policy.Idle(f.BootS, catalog.PriceOf(f, m.Spot), m.Spot) && !view.inHeadroom(host) {
		drain("idle")
	}
}

// canMigrate reports whether a machine holds nothing but a few replicas that have run
// for a while and fit on machines in use elsewhere that have their images, so
// that moving them costs seconds and saves a machine.
func (as *Autoscaler) canMigrate(host string, startup time.Duration, view *ScaleInView) bool {
	m, now := as.cache.Machines[host], view.Now
	cp, _ := as.catalog.MachineCapacity(m.MachineType)
	used := sched.Resources{}
	for _, pl := range as.cache.Placements[host] {
		j := as.cache.Jobs[pl.UID]
		if j == nil || j.Record.Cancelled || pl.Placement.Stopping || j.Record.Spec.Kind != api.Service {
			return false
		}
		started := time.UnixMilli(j.Record.AcceptedMS).Add(time.Duration(pl.Placement.PlacedS) * time.Second)
		if now.Sub(started) < startup {
			return false
		}
		used = used.Add(statecache.ResourcesOf(&j.Record.Spec))
	}
	if !cp.Fits(used.Scale(2)) {
		return false
	}
	var asks []sched.TaskRequest
	for _, pl := range as.cache.Placements[host] {
		asks = append(asks, statecache.TaskRequestOf(&as.cache.Jobs[pl.UID].Record.Spec))
	}
	return view.FitElsewhere(host, m.Zone, asks) && !view.inHeadroom(host)
}
