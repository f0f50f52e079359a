package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"violetturn/internal/autoscaler"
	"violetturn/internal/catalog"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/sched"
)

// scaleIn decides which machines go back and returns them.
func (c *Controller) scaleIn(ctx context.Context) {
	state := c.guard.Lock()
	back, fences := state.Autoscaler.MachinesToReturn(c.node.Now())
	c.guard.Unlock()
	c.sendCommands(ctx, fences)
	if len(back) == 0 {
		return
	}
	if err := c.cloud.Return(ctx, back); err != nil {
		c.node.Log.Info("machines not returned", "hosts", back, "err", err)
		return
	}
	state = c.guard.Lock()
	for _, h := range back {
		if s := state.Agents.ByHost[h]; s != nil {
			s.Terminated = true
		}
		if m := state.Cache.Machines[h]; m != nil { // what was refused may be had again
			delete(state.Catalog.CapacityBackoffs, catalog.OfferKey(sched.Offer{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}))
		}
	}
	c.guard.Unlock()
	c.node.Log.Info("machines returned", "hosts", back)
	c.wake.Notify()
}

// autoscaleLoop rents, lists and returns machines.
func (c *Controller) autoscaleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.autoscale(ctx)
		sleep(ctx, c.node.Settings.AutoscaleInterval())
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
	now := c.node.Now()
	r := &c.rentals
	if r.typesReadAt.IsZero() || now.Sub(r.typesReadAt) > c.node.Settings.WorkerLease()*2 {
		if f, err := c.cloud.MachineTypes(ctx); err == nil {
			r.typesReadAt = now
			state := c.guard.Lock()
			state.Catalog.MachineTypes = f
			c.guard.Unlock()
			c.wake.Notify()
		} else {
			c.node.Log.Debug("machine types not read", "err", err)
		}
	}
	state := c.guard.Lock()
	headroom := state.Autoscaler.DueHeadroom(now)
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
	lag := time.Duration(c.node.Settings.Facts.Cloud.ListLagS * float64(time.Second))
	if r.listing.Active() && now.Sub(r.listing.Began) > 4*max(lag, c.node.Settings.HeartbeatInterval()) {
		r.listing.Abandon() // the cloud did not answer meanwhile
	}
	if !r.listing.Active() && now.Sub(r.listReadAt) <= max(lag, c.node.Settings.HeartbeatInterval()) {
		return
	}
	hosts, complete, err := r.listing.Read(ctx, c.cloud, now, config.CloudCallsPerRound)
	if err != nil {
		c.node.Log.Debug("list of machines not read", "err", err)
	}
	if complete {
		r.listReadAt = now
		state := c.guard.Lock()
		state.Agents.NoteMachineList(hosts, r.listing.Began, r.unknownSince, lag)
		c.guard.Unlock()
	}
}

// scaleOut rents what rentOrders tells. It reports whether an offer was refused, so that
// another may do.
func (c *Controller) scaleOut(ctx context.Context, inDoubt map[sched.Offer]cloud.RentalRequest, headroom []autoscaler.HeadroomRequest) (again bool) {
	now := c.node.Now()
	state := c.guard.Lock()
	orders := state.Autoscaler.RentalOrders(now, headroom)
	home, term := state.Autoscaler.RentingShard()
	c.guard.Unlock()
	if home == "" || len(orders) == 0 {
		return false
	}
	for _, o := range orders {
		refused, err := c.rentMachines(ctx, o, inDoubt, autoscaler.RentingShard{Shard: home, Term: term, At: now})
		if err != nil {
			return false
		}
		again = again || refused
	}
	c.registerMachines(ctx)
	return again
}

// rentMachines rents the machines of one order, in as many requests as a round may take: one
// request returns 50 machines at most. It reports whether the cloud gave less than was asked
// for; an error is a request in doubt, which is repeated under its name.
func (c *Controller) rentMachines(
	ctx context.Context, o sched.RentalOrder, inDoubt map[sched.Offer]cloud.RentalRequest, by autoscaler.RentingShard,
) (refused bool, err error) {
	for wanted, calls := o.Count, 0; wanted > 0 && calls < config.CloudCallsPerRound && !refused; calls++ {
		r, unanswered := inDoubt[o.Offer]
		if !unanswered {
			c.rentals.requests++
			// Part, term and count: no other node or life ever uses this name.
			name := fmt.Sprintf("%s-%d-%d", by.Shard, by.Term, c.rentals.requests)
			r = cloud.RentalRequest{Name: name, MachineType: o.Offer.MachineType, Zone: o.Offer.Zone, Spot: o.Offer.Spot}
			r.Count = min(wanted, cloud.MaxRental)
		}
		hosts, err := c.cloud.Rent(ctx, r)
		state := c.guard.Lock()
		refused = state.Autoscaler.NoteRental(r, hosts, err, by.Shard, by.At)
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
