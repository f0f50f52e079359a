package scaling

import (
	"context"
	"errors"
	"fmt"
	"time"

	"violetturn/internal/autoscaler"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/sched"
	"violetturn/internal/timing"
)

// scaleIn decides which machines go back and returns them.
func (l *Loop) scaleIn(ctx context.Context) {
	state := l.guard.Lock()
	decided := state.Autoscaler.ScaleIn(l.node.Now())
	l.guard.Unlock()
	l.commands.Send(ctx, decided.Fences)
	back := decided.Return
	if len(back) == 0 {
		return
	}
	if err := l.services.Cloud.Return(ctx, back); err != nil {
		l.node.Log.Info("machines not returned", "hosts", back, "err", err)
		return
	}
	state = l.guard.Lock()
	for _, h := range back {
		state.Agents.NoteTerminated(h)
		if m := state.Cache.Machines[h]; m != nil { // what was refused may be had again
			state.Catalog.ClearBackoff(&sched.Offer{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot})
		}
	}
	l.guard.Unlock()
	l.node.Log.Info("machines returned", "hosts", back)
	l.wake.Notify()
}

// AutoscaleLoop rents, lists and returns machines.
func (l *Loop) AutoscaleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.Autoscale(ctx)
		timing.Sleep(ctx, l.node.Settings.AutoscaleInterval())
	}
}

func (l *Loop) Autoscale(ctx context.Context) {
	now := l.node.Now()
	r := &l.Rentals
	if r.typesReadAt.IsZero() || now.Sub(r.typesReadAt) > l.node.Settings.WorkerLease()*2 {
		if f, err := l.services.Cloud.MachineTypes(ctx); err == nil {
			r.typesReadAt = now
			state := l.guard.Lock()
			state.Catalog.SetMachineTypes(f)
			l.guard.Unlock()
			l.wake.Notify()
		} else {
			l.node.Log.Debug("machine types not read", "err", err)
		}
	}
	state := l.guard.Lock()
	headroom := state.Autoscaler.DueHeadroom(now)
	l.guard.Unlock()
	for range 6 { // a refusal is followed at once by the next best offer
		if !l.scaleOut(ctx, r.Unanswered, headroom) {
			break
		}
	}
	l.readMachineList(ctx, now)
	l.scaleIn(ctx)
}

// readMachineList reads what a round may read of the cloud's list, if it is time for one. A fleet
// of some thousand machines takes several rounds.
func (l *Loop) readMachineList(ctx context.Context, now time.Time) {
	r := &l.Rentals
	lag := time.Duration(l.node.Settings.Facts.Cloud.ListLagS * float64(time.Second))
	if r.listing.Active() && now.Sub(r.listing.Began) > 4*max(lag, l.node.Settings.HeartbeatInterval()) {
		r.listing.Abandon() // the cloud did not answer meanwhile
	}
	if !r.listing.Active() && now.Sub(r.listReadAt) <= max(lag, l.node.Settings.HeartbeatInterval()) {
		return
	}
	hosts, complete, err := r.listing.Read(ctx, l.services.Cloud, now, config.CloudCallsPerRound)
	if err != nil {
		l.node.Log.Debug("list of machines not read", "err", err)
	}
	if complete {
		r.listReadAt = now
		state := l.guard.Lock()
		state.Agents.NoteMachineList(hosts, r.listing.Began, lag)
		l.guard.Unlock()
	}
}

// scaleOut rents what rentOrders tells. It reports whether an offer was refused, so that
// another may do.
func (l *Loop) scaleOut(ctx context.Context, inDoubt map[sched.Offer]cloud.RentalRequest, headroom []autoscaler.HeadroomRequest) (again bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	orders := state.Autoscaler.RentalOrders(now, headroom)
	renting := state.Autoscaler.RentingShard(now)
	l.guard.Unlock()
	if renting.Shard == "" || len(orders) == 0 {
		return false
	}
	for _, o := range orders {
		refused, err := l.rentMachines(ctx, o, inDoubt, renting)
		if err != nil {
			return false
		}
		again = again || refused
	}
	l.decisions.RegisterMachines(ctx)
	return again
}

// rentMachines rents the machines of one order, in as many requests as a round may take: one
// request returns 50 machines at most. It reports whether the cloud gave less than was asked
// for; an error is a request in doubt, which is repeated under its name.
func (l *Loop) rentMachines(
	ctx context.Context, o sched.RentalOrder, inDoubt map[sched.Offer]cloud.RentalRequest, by autoscaler.RentingShard,
) (refused bool, err error) {
	for wanted, calls := o.Count, 0; wanted > 0 && calls < config.CloudCallsPerRound && !refused; calls++ {
		r, unanswered := inDoubt[o.Offer]
		if !unanswered {
			l.Rentals.requests++
			// Part, term and count: no other node or life ever uses this name.
			name := fmt.Sprintf("%s-%d-%d", by.Shard, by.Term, l.Rentals.requests)
			r = cloud.RentalRequest{Name: name, MachineType: o.Offer.MachineType, Zone: o.Offer.Zone, Spot: o.Offer.Spot}
			r.Count = min(wanted, cloud.MaxRental)
		}
		hosts, err := l.services.Cloud.Rent(ctx, r)
		state := l.guard.Lock()
		refused = state.Autoscaler.NoteRental(r, hosts, err, by)
		l.guard.Unlock()
		delete(inDoubt, o.Offer)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			inDoubt[o.Offer] = r // repeated under its name
			return refused, err
		}
		wanted -= len(hosts)
	}
	return refused, nil
}
