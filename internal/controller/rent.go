package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// autoscaleLoop rents, lists and returns machines.
func (c *Controller) autoscaleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.autoscale(ctx)
		sleep(ctx, c.node.settings.AutoscaleInterval())
	}
}

// rentalState is what the cloud's rounds remember; only they use it.
type rentalState struct {
	typesReadAt, listReadAt time.Time
	listing                 cloud.Listing                       // the list, as far as it has been read
	unanswered              map[sched.Offer]cloud.RentalRequest // rentals without an answer, repeated under their names
	requests                int                                 // names given to rental requests so far
	unknownSince            map[string]time.Time                // listed machines without a record, since when
}

func (c *Controller) autoscale(ctx context.Context) {
	now := c.node.now()
	r := &c.rentals
	if r.typesReadAt.IsZero() || now.Sub(r.typesReadAt) > c.node.settings.WorkerLease()*2 {
		if f, err := c.cloud.MachineTypes(ctx); err == nil {
			r.typesReadAt = now
			state := c.guard.Lock()
			state.catalog.machineTypes = f
			c.guard.Unlock()
			c.wake.notify()
		} else {
			c.node.log.Debug("machine types not read", "err", err)
		}
	}
	state := c.guard.Lock()
	headroom := state.autoscaler.dueHeadroom(now)
	c.guard.Unlock()
	for range 6 { // a refusal is followed at once by the next best offer
		if !c.scaleOut(ctx, r.unanswered, headroom) {
			break
		}
	}
	c.readMachineList(ctx, now)
	c.scaleIn(ctx)
}

// readMachineList reads what a round may read of the cloud's list, if it is time for one. A fleet
// of some thousand machines takes several rounds.
func (c *Controller) readMachineList(ctx context.Context, now time.Time) {
	r := &c.rentals
	lag := time.Duration(c.node.settings.Facts.Cloud.ListLagS * float64(time.Second))
	if r.listing.Active() && now.Sub(r.listing.Began) > 4*max(lag, c.node.settings.HeartbeatInterval()) {
		r.listing.Abandon() // the cloud did not answer meanwhile
	}
	if !r.listing.Active() && now.Sub(r.listReadAt) <= max(lag, c.node.settings.HeartbeatInterval()) {
		return
	}
	hosts, complete, err := r.listing.Read(ctx, c.cloud, now, config.CloudCallsPerRound)
	if err != nil {
		c.node.log.Debug("list of machines not read", "err", err)
	}
	if complete {
		r.listReadAt = now
		state := c.guard.Lock()
		state.agents.noteMachineList(hosts, r.listing.Began, r.unknownSince, lag)
		c.guard.Unlock()
	}
}

// availableOffers lists what can be rented, less what was refused lately.
func (c *machineCatalog) availableOffers(now time.Time) []sched.Offer {
	var out []sched.Offer
	for _, f := range c.machineTypes {
		cp := sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB}
		for _, zone := range f.Zones {
			for _, o := range []sched.Offer{
				{MachineType: f.Name, Zone: zone, Cap: cp, Price: f.Price},
				{MachineType: f.Name, Zone: zone, Spot: true, Cap: cp, Price: f.SpotPrice},
			} {
				if r, ok := c.capacityBackoffs[offerKey(o)]; !ok || now.After(r.until) {
					out = append(out, o)
				}
			}
		}
	}
	return out
}

func priceOf(f *cloud.MachineType, spot bool) float64 {
	if spot {
		return f.SpotPrice
	}
	return f.Price
}

func offerKey(o sched.Offer) string { return fmt.Sprintf("%s/%s/%t", o.MachineType, o.Zone, o.Spot) }

// provisioningHosts lists the machines that have not come up yet: those rented for this
// node's shards, or all.
func (mr *machineRoom) provisioningHosts(now time.Time, all bool) []*sched.Host {
	var out []*sched.Host
	for host, m := range mr.cache.machines {
		if !all && mr.leadership.of(m.RentedFor) == nil || len(mr.cache.placements[host]) > 0 {
			continue
		}
		cp, f := mr.catalog.machineCapacity(m.MachineType)
		rec := mr.cache.capacities[m.Shard].record
		if f == nil || rec == nil {
			continue
		}
		if _, up := rec.Free[host]; up {
			continue
		}
		if s := mr.agents.byHost[host]; s != nil && s.Fenced {
			continue
		}
		if float64(now.UnixMilli()-m.RegisteredMS)/1000 > 2*f.BootS {
			continue // late: it may never come
		}
		out = append(
			out,
			&sched.Host{Name: host, Shard: m.Shard, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Cap: cp, Free: cp},
		)
	}
	return out
}

// dueHeadroom returns the room to be kept for what is still to come if this node is to look
// now whether there is enough of it: one node does it for all. After there was enough, that
// may wait a little, against a boot, unless more is wanted by now.
func (as *autoscalerState) dueHeadroom(now time.Time) []headroomRequest {
	if as.leadership.of(as.node.shards[0]) == nil {
		return nil
	}
	wants := as.headroom(now)
	more := slices.ContainsFunc(wants, func(w headroomRequest) bool { return w.tasks() > as.sufficientHeadroom.tasks[w.class] })
	if !more && now.Sub(as.sufficientHeadroom.at) < as.catalog.shortestBoot()/16 {
		return nil
	}
	return wants
}

// sufficientHeadroom is when there was enough headroom last, and for how many tasks by class.
type sufficientHeadroom struct {
	at    time.Time
	tasks map[string]int
}

// rentalOrders returns what to rent for what lacks room after the machines that are coming,
// and for the headroom that is wanted.
func (as *autoscalerState) rentalOrders(now time.Time, headroom []headroomRequest) []sched.RentalOrder {
	if len(headroom) == 0 && !as.scheduler.hasPendingTasks() {
		return nil
	}
	p := as.scheduler.reusePlan(now)
	orders := sched.PlanRentals(p.unmet, as.room.provisioningHosts(now, false), as.catalog.availableOffers(now), as.node.settings.Zone)
	if len(headroom) == 0 {
		return orders
	}
	// What lacks room now, here and at the peers, has been rented for and takes its
	// share of what is coming.
	sim := append(as.room.provisioningHosts(now, true), p.remaining...)
	sched.PlanRentals(p.allUnmet, sim, nil, "")
	enough := sufficientHeadroom{now, map[string]int{}}
	for _, w := range headroom {
		more := sched.PlanRentals(w.requests, as.room.withPreemptibleRoom(sim, w.priority), as.catalog.availableOffers(now), as.node.settings.Zone)
		if len(more) == 0 { // else again in the next round: one takes no more than the cloud gives at once
			enough.tasks[w.class] = w.tasks()
		}
		orders = append(orders, more...)
	}
	as.sufficientHeadroom = enough
	return orders
}

// scaleOut rents what rentOrders tells. It reports whether an offer was refused, so that
// another may do.
func (c *Controller) scaleOut(ctx context.Context, inDoubt map[sched.Offer]cloud.RentalRequest, headroom []headroomRequest) (again bool) {
	now := c.node.now()
	state := c.guard.Lock()
	orders := state.autoscaler.rentalOrders(now, headroom)
	home, term := state.autoscaler.rentingShard()
	c.guard.Unlock()
	if home == "" || len(orders) == 0 {
		return false
	}
	for _, o := range orders {
		refused, err := c.rentMachines(ctx, o, inDoubt, rentingShard{home, term, now})
		if err != nil {
			return false
		}
		again = again || refused
	}
	c.registerMachines(ctx)
	return again
}

// rentingShard is for whom machines are rented, and when that was decided.
type rentingShard struct {
	shard string
	term  uint64
	at    time.Time
}

// rentMachines rents the machines of one order, in as many requests as a round may take: one
// request returns 50 machines at most. It reports whether the cloud gave less than was asked
// for; an error is a request in doubt, which is repeated under its name.
func (c *Controller) rentMachines(
	ctx context.Context, o sched.RentalOrder, inDoubt map[sched.Offer]cloud.RentalRequest, by rentingShard,
) (refused bool, err error) {
	for wanted, calls := o.Count, 0; wanted > 0 && calls < config.CloudCallsPerRound && !refused; calls++ {
		r, unanswered := inDoubt[o.Offer]
		if !unanswered {
			c.rentals.requests++
			// Part, term and count: no other node or life ever uses this name.
			name := fmt.Sprintf("%s-%d-%d", by.shard, by.term, c.rentals.requests)
			r = cloud.RentalRequest{Name: name, MachineType: o.Offer.MachineType, Zone: o.Offer.Zone, Spot: o.Offer.Spot}
			r.Count = min(wanted, cloud.MaxRental)
		}
		hosts, err := c.cloud.Rent(ctx, r)
		state := c.guard.Lock()
		refused = state.autoscaler.noteRental(r, hosts, err, by.shard, by.at)
		c.guard.Unlock()
		delete(inDoubt, o.Offer)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			inDoubt[o.Offer] = r // repeated under its name
			return refused, err
		}
		wanted -= len(hosts)
	}
	return refused, nil
}

// rentingShard returns the shard that machines are rented for, this node's home if it owns it,
// and its term; "" if it owns none.
func (as *autoscalerState) rentingShard() (name string, term uint64) {
	for _, x := range as.node.shards {
		if o := as.leadership.of(x); o != nil && (name == "" || x == as.node.settings.HostName) {
			name, term = x, o.term
		}
	}
	return name, term
}

// noteRental takes in the cloud's answer to a rental, and reports whether it gave less than was
// asked for.
func (as *autoscalerState) noteRental(r cloud.RentalRequest, hosts []string, err error, home string, now time.Time) (refused bool) {
	key := offerKey(sched.Offer{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot})
	switch {
	case err == nil:
		delete(as.catalog.capacityBackoffs, key)
		as.node.log.Info(
			"machines rented", "request", r.Name, "machine_type", r.MachineType, "zone", r.Zone, "spot", r.Spot,
			"requested", r.Count, "hosts", hosts,
		)
		for _, h := range hosts {
			as.agents.unregistered[h] = shard.Machine{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, RentedFor: home}
		}
		refused = len(hosts) < r.Count
	case errors.Is(err, cloud.ErrNoCapacity):
		as.node.log.Info("rental refused", "request", r.Name, "machine_type", r.MachineType, "zone", r.Zone, "spot", r.Spot)
		refused = true
	default:
		as.node.log.Info("rental outcome unknown", "request", r.Name, "err", err)
	}
	if refused {
		as.catalog.backOff(key, r.MachineType, now)
	}
	return refused
}

// backOff keeps an offer from being asked for again at once, ever longer: what
// was refused seldom comes back sooner than a machine would boot.
func (c *machineCatalog) backOff(key, machineType string, now time.Time) {
	_, f := c.machineCapacity(machineType)
	startup := c.node.settings.WorkerLease()
	if f != nil {
		startup = time.Duration(f.BootS * float64(time.Second))
	}
	r := c.capacityBackoffs[key]
	r.wait = min(max(2*r.wait, startup/4), 2*startup)
	r.until = now.Add(r.wait)
	c.capacityBackoffs[key] = r
}

// noteMachineList takes in the cloud's list. It is late and may be older than the last
// one, so it only raises questions; a return answers them.
// Its first page was read at the time began.
func (reg *agentRegistry) noteMachineList(l []cloud.Host, began time.Time, seen map[string]time.Time, lag time.Duration) {
	now := reg.node.now()
	in := map[string]bool{}
	reg.provisioning = map[string]bool{}
	for _, h := range l {
		in[h.UID] = h.Phase != "failed"
		if h.Phase == "starting" {
			reg.provisioning[h.UID] = true
		}
		m := reg.cache.machines[h.UID]
		if m == nil {
			// Perhaps just rented by a peer, or just returned and still listed.
			if first, ok := seen[h.UID]; !ok {
				seen[h.UID] = now
			} else if now.Sub(first) > 4*lag && h.Phase != "failed" {
				reg.noteUnregistered(h.UID, shard.Machine{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Addr: h.Addr})
			}
			continue
		}
		delete(seen, h.UID)
		if m.Addr == "" {
			m.Addr = h.Addr
		}
		if o := reg.leadership.of(m.Shard); o != nil {
			s := reg.of(h.UID, o)
			s.MissingFromLists = 0
			if h.Phase == "failed" && !s.Cordoned {
				reg.node.log.Info("machine failed", "host", h.UID)
				s.Cordoned, s.MissingFromLists = true, 2
			}
		}
	}
	reg.listedByCloud = in
	for h := range seen {
		if _, ok := in[h]; !ok {
			delete(seen, h)
		}
	}
	for host, s := range reg.byHost {
		// One that is listed stays so until it is gone, and a new one is listed
		// after some time: what a late copy had recorded never is.
		m := reg.cache.machines[host]
		if _, ok := in[host]; !ok && m != nil && began.Sub(time.UnixMilli(m.RegisteredMS)) > 4*lag+reg.node.settings.HeartbeatInterval() {
			s.MissingFromLists++
		}
	}
}
