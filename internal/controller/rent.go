package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// cloudLoop rents, lists and returns machines.
func (c *Controller) cloudLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.cloudStep(ctx)
		sleep(ctx, c.cloudPause())
	}
}

// callsARound is how many calls of the cloud a round may take of each kind as a rule.
const callsARound = 2

// cloudPause is the time between two rounds of rentals: a few calls of this
// controller's share of the cloud's rate, and short against a report round.
func (c *Controller) cloudPause() time.Duration {
	share := c.cfg.Facts.Cloud.RPS / float64(c.cfg.Facts.Size)
	return min(c.cfg.Report()/3, time.Duration(callsARound/share*float64(time.Second)))
}

// renting is what the cloud's rounds remember; only they use it.
type renting struct {
	flavorsAt, listAt time.Time
	listing           cloud.Listing                // the list, as far as it has been read
	inDoubt           map[sched.Offer]cloud.Rental // rentals without an answer, repeated under their names
	seen              map[string]time.Time         // listed machines without a record, since when
}

func (c *Controller) cloudStep(ctx context.Context) {
	now := c.now()
	r := &c.renting
	if r.flavorsAt.IsZero() || now.Sub(r.flavorsAt) > c.cfg.Lease()*2 {
		if f, err := c.cloud.MachineTypes(ctx); err == nil {
			r.flavorsAt = now
			c.mu.Lock()
			c.machineTypes = f
			c.mu.Unlock()
			c.poke()
		} else {
			c.log.Debug("machine types not read", "err", err)
		}
	}
	headroom := c.headroomDue(now)
	for range 6 { // a refusal is followed at once by the next best offer
		if !c.rentRound(ctx, r.inDoubt, headroom) {
			break
		}
	}
	c.listStep(ctx, now)
	c.returnRound(ctx)
}

// listStep reads what a round may read of the cloud's list, if it is time for one. A fleet
// of some thousand machines takes several rounds.
func (c *Controller) listStep(ctx context.Context, now time.Time) {
	r := &c.renting
	lag := time.Duration(c.cfg.Facts.Cloud.ListLagS * float64(time.Second))
	if r.listing.Active() && now.Sub(r.listing.Began) > 4*max(lag, c.cfg.Report()) {
		r.listing.Abandon() // the cloud did not answer meanwhile
	}
	if !r.listing.Active() && now.Sub(r.listAt) <= max(lag, c.cfg.Report()) {
		return
	}
	hosts, complete, err := r.listing.Read(ctx, c.cloud, now, callsARound)
	if err != nil {
		c.log.Debug("list of machines not read", "err", err)
	}
	if complete {
		r.listAt = now
		c.listed(hosts, r.listing.Began, r.seen, lag)
	}
}

// offers lists what can be rented, less what was refused lately. Call with the
// lock held.
func (c *Controller) offers(now time.Time) []sched.Offer {
	var out []sched.Offer
	for _, f := range c.machineTypes {
		cp := sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB}
		for _, site := range f.Zones {
			for _, o := range []sched.Offer{
				{MachineType: f.Name, Zone: site, Cap: cp, Price: f.Price},
				{MachineType: f.Name, Zone: site, Spot: true, Cap: cp, Price: f.SpotPrice},
			} {
				if r, ok := c.refused[offerKey(o)]; !ok || now.After(r.until) {
					out = append(out, o)
				}
			}
		}
	}
	return out
}

func priceOf(f *cloud.MachineType, loaners bool) float64 {
	if loaners {
		return f.SpotPrice
	}
	return f.Price
}

func offerKey(o sched.Offer) string { return fmt.Sprintf("%s/%s/%t", o.MachineType, o.Zone, o.Spot) }

// coming lists the machines that have not come up yet: those rented for this
// node's parts, or all. Call with the lock held.
func (c *Controller) coming(now time.Time, all bool) []*sched.Host {
	var out []*sched.Host
	for host, m := range c.replica.hosts {
		if !all && c.owned(m.RentedFor) == nil || len(c.replica.onHost[host]) > 0 {
			continue
		}
		cp, f := c.capOf(m.MachineType)
		rec := c.replica.parts[m.Part].v
		if f == nil || rec == nil {
			continue
		}
		if _, up := rec.Free[host]; up {
			continue
		}
		if s := c.sessions[host]; s != nil && s.Fenced {
			continue
		}
		if float64(now.UnixMilli()-m.AtMS)/1000 > 2*f.BootS {
			continue // late: it may never come
		}
		out = append(out, &sched.Host{Name: host, Part: m.Part, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Cap: cp, Free: cp})
	}
	return out
}

// headroomDue gives the room to be kept for what is still to come if this node is to look
// now whether there is enough of it: one node does it for all. After there was enough, that
// may wait a little, against a boot, unless more is wanted by now.
func (c *Controller) headroomDue(now time.Time) []wanted {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owned(c.parts[0]) == nil {
		return nil
	}
	wants := c.headroom(now)
	more := slices.ContainsFunc(wants, func(w wanted) bool { return w.tasks() > c.enough.tasks[w.class] })
	if !more && now.Sub(c.enough.at) < c.boot()/16 {
		return nil
	}
	return wants
}

// enoughHeadroom is when there was enough head-room last, and for how many tasks by class.
type enoughHeadroom struct {
	at    time.Time
	tasks map[string]int
}

// rentOrders tells what to rent for what lacks room after the machines that are coming,
// and for the head-room that is wanted. Call with the lock held.
func (c *Controller) rentOrders(now time.Time, headroom []wanted) []sched.Order {
	if len(headroom) == 0 && !c.waiting() {
		return nil
	}
	p := c.takePlan(now)
	orders := sched.Plan(p.unmet, c.coming(now, false), c.offers(now), c.cfg.Site)
	if len(headroom) == 0 {
		return orders
	}
	// What lacks room now, here and at the peers, has been rented for and takes its
	// share of what is coming.
	sim := append(c.coming(now, true), p.left...)
	sched.Plan(p.all, sim, nil, "")
	enough := enoughHeadroom{now, map[string]int{}}
	for _, w := range headroom {
		more := sched.Plan(w.asks, c.yielding(sim, w.rank), c.offers(now), c.cfg.Site)
		if len(more) == 0 { // else again in the next round: one takes no more than the cloud gives at once
			enough.tasks[w.class] = w.tasks()
		}
		orders = append(orders, more...)
	}
	c.enough = enough
	return orders
}

// rentRound rents what rentOrders tells. It tells whether an offer was refused, so that
// another may do.
func (c *Controller) rentRound(ctx context.Context, inDoubt map[sched.Offer]cloud.Rental, headroom []wanted) (again bool) {
	now := c.now()
	c.mu.Lock()
	orders := c.rentOrders(now, headroom)
	home, term := c.rentingPart()
	c.mu.Unlock()
	if home == "" || len(orders) == 0 {
		return false
	}
	for _, o := range orders {
		refused, err := c.rentOrder(ctx, o, inDoubt, renter{home, term, now})
		if err != nil {
			return false
		}
		again = again || refused
	}
	c.recordStrangers(ctx)
	return again
}

// renter is for whom machines are rented, and when that was decided.
type renter struct {
	part string
	term uint64
	at   time.Time
}

// rentOrder rents the machines of one order, in as many requests as a round may take: one
// request gives 50 machines at most. It tells whether the cloud gave less than was asked
// for; an error is a request in doubt, which is repeated under its name.
func (c *Controller) rentOrder(
	ctx context.Context, o sched.Order, inDoubt map[sched.Offer]cloud.Rental, by renter,
) (refused bool, err error) {
	for wanted, calls := o.Count, 0; wanted > 0 && calls < callsARound && !refused; calls++ {
		r, doubt := inDoubt[o.Offer]
		if !doubt {
			c.hires++
			// Part, term and count: no other node or life ever uses this name.
			name := fmt.Sprintf("%s-%d-%d", by.part, by.term, c.hires)
			r = cloud.Rental{Name: name, MachineType: o.Offer.MachineType, Zone: o.Offer.Zone, Spot: o.Offer.Spot}
			r.Count = min(wanted, cloud.MaxRental)
		}
		hosts, err := c.cloud.Rent(ctx, r)
		c.mu.Lock()
		refused = c.rented(r, hosts, err, by.part, by.at)
		c.mu.Unlock()
		delete(inDoubt, o.Offer)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			inDoubt[o.Offer] = r // repeated under its name
			return refused, err
		}
		wanted -= len(hosts)
	}
	return refused, nil
}

// rentingPart gives the part that machines are rented for, this node's home if it owns it,
// and its term; "" if it owns none. Call with the lock held.
func (c *Controller) rentingPart() (name string, term uint64) {
	for _, x := range c.parts {
		if o := c.owned(x); o != nil && (name == "" || x == c.cfg.HostName) {
			name, term = x, o.term
		}
	}
	return name, term
}

// rented takes in the cloud's answer to a rental, and tells whether it gave less than was
// asked for. Call with the lock held.
func (c *Controller) rented(r cloud.Rental, hosts []string, err error, home string, now time.Time) (refused bool) {
	key := offerKey(sched.Offer{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot})
	switch {
	case err == nil:
		delete(c.refused, key)
		c.log.Info(
			"machines rented", "hire", r.Name, "build", r.MachineType, "site", r.Zone, "loaners", r.Spot,
			"asked", r.Count, "hosts", hosts,
		)
		for _, h := range hosts {
			c.adopt[h] = shard.Machine{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, RentedFor: home}
		}
		refused = len(hosts) < r.Count
	case errors.Is(err, cloud.ErrNoCapacity):
		c.log.Info("rental refused", "hire", r.Name, "build", r.MachineType, "site", r.Zone, "loaners", r.Spot)
		refused = true
	default:
		c.log.Info("rental in doubt", "hire", r.Name, "err", err)
	}
	if refused {
		c.refuse(key, r.MachineType, now)
	}
	return refused
}

// refuse keeps an offer from being asked for again at once, ever longer: what
// was refused seldom comes back sooner than a machine would boot. Call with the
// lock held.
func (c *Controller) refuse(key, build string, now time.Time) {
	_, f := c.capOf(build)
	startup := c.cfg.Lease()
	if f != nil {
		startup = time.Duration(f.BootS * float64(time.Second))
	}
	r := c.refused[key]
	r.wait = min(max(2*r.wait, startup/4), 2*startup)
	r.until = now.Add(r.wait)
	c.refused[key] = r
}

// listed takes in the cloud's list. It is late and may be older than the last
// one, so it only raises questions; a return answers them.
// Its first page was read at the time began.
func (c *Controller) listed(l []cloud.Host, began time.Time, seen map[string]time.Time, lag time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	in := map[string]bool{}
	c.booting = map[string]bool{}
	for _, h := range l {
		in[h.UID] = h.Phase != "failed"
		if h.Phase == "starting" {
			c.booting[h.UID] = true
		}
		m := c.replica.hosts[h.UID]
		if m == nil {
			// Perhaps just rented by a peer, or just returned and still listed.
			if first, ok := seen[h.UID]; !ok {
				seen[h.UID] = now
			} else if now.Sub(first) > 4*lag && h.Phase != "failed" {
				c.stranger(h.UID, shard.Machine{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Addr: h.Addr})
			}
			continue
		}
		delete(seen, h.UID)
		if m.Addr == "" {
			m.Addr = h.Addr
		}
		if o := c.owned(m.Part); o != nil {
			s := c.session(h.UID, o)
			s.Missing = 0
			if h.Phase == "failed" && !s.Drain {
				c.log.Info("machine failed", "host", h.UID)
				s.Drain, s.Missing = true, 2
			}
		}
	}
	c.inList = in
	for h := range seen {
		if _, ok := in[h]; !ok {
			delete(seen, h)
		}
	}
	for host, s := range c.sessions {
		// One that is listed stays so until it is gone, and a new one is listed
		// after some time: what a late copy had recorded never is.
		m := c.replica.hosts[host]
		if _, ok := in[host]; !ok && m != nil && began.Sub(time.UnixMilli(m.AtMS)) > 4*lag+c.cfg.Report() {
			s.Missing++
		}
	}
}
