package autoscaler

import (
	"errors"
	"slices"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// sufficientHeadroom is when there was enough headroom last, and for how many tasks by class.
type sufficientHeadroom struct {
	at    time.Time
	tasks map[string]int
}

// DueHeadroom returns the room to be kept for what is still to come if this controller is to look
// now whether there is enough of it: one controller does it for all. After there was enough, that
// may wait a little, compared with a boot, unless more is wanted by now.
func (a *Autoscaler) DueHeadroom(now time.Time) []HeadroomRequest {
	if !a.leadership.Leads(a.node.Shards[0]) {
		return nil
	}
	wanted := a.headroom(now)
	more := slices.ContainsFunc(wanted, func(h HeadroomRequest) bool { return h.tasks() > a.sufficient.tasks[h.class] })
	if !more && !a.isLookDue(a.sufficient.at, now) {
		return nil
	}
	return wanted
}

// RentalOrders returns what to rent for what lacks room after the machines that are coming,
// and for the headroom that is wanted.
func (a *Autoscaler) RentalOrders(now time.Time, headroom []HeadroomRequest) []sched.RentalOrder {
	if len(headroom) == 0 && !a.scheduler.HasPendingTasks() {
		return nil
	}
	plan := a.scheduler.RecentPlan(now)
	home := a.node.Settings.Zone
	orders := sched.PlanRentals(plan.UnmetDemand, a.room.ProvisioningHosts(now, false), a.catalog.AvailableOffers(now), home)
	if len(headroom) == 0 {
		return orders
	}
	// What lacks room now, here and at the peers, has been rented for and takes its
	// share of what is coming.
	hosts := append(a.room.ProvisioningHosts(now, true), plan.RemainingHosts...)
	sched.PlanRentals(plan.AllUnmetDemand, hosts, nil, "")
	sufficient := sufficientHeadroom{at: now, tasks: map[string]int{}}
	for _, wanted := range headroom {
		room := a.room.WithPreemptibleCapacity(hosts, wanted.priority)
		more := sched.PlanRentals(wanted.requests, room, a.catalog.AvailableOffers(now), home)
		if len(more) == 0 { // else again in the next round: one takes no more than the cloud gives at once
			sufficient.tasks[wanted.class] = wanted.tasks()
		}
		orders = append(orders, more...)
	}
	a.sufficient = sufficient
	return orders
}

// RentingShard is the shard that machines are rented for, and when that was decided.
type RentingShard struct {
	Shard     string // "": this controller leads none
	Term      uint64
	DecidedAt time.Time
}

// RentingShard returns the shard that machines are rented for, this controller's home if it leads
// that.
func (a *Autoscaler) RentingShard(now time.Time) RentingShard {
	renting := RentingShard{DecidedAt: now}
	for _, name := range a.node.Shards {
		led := a.leadership.InForce(name)
		if led != nil && (renting.Shard == "" || name == a.node.Settings.HostName) {
			renting.Shard, renting.Term = name, led.Term
		}
	}
	return renting
}

// RecordRental records the cloud's answer to a rental, and reports whether it gave less than was
// asked for. An error that is not cloud.ErrNoCapacity leaves open whether machines were rented.
func (a *Autoscaler) RecordRental(r cloud.RentalRequest, hosts []string, err error, by RentingShard) (refused bool) {
	offer := sched.Offer{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot}
	switch {
	case err == nil:
		a.catalog.ClearBackoff(&offer)
		a.node.Log.Info("machines rented",
			"request", r.Name, "machine_type", r.MachineType, "zone", r.Zone, "spot", r.Spot, "requested", r.Count, "hosts", hosts)
		for _, host := range hosts {
			a.agents.Unregistered().SetRented(host, shard.Machine{
				MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, RentedFor: by.Shard,
			})
		}
		refused = len(hosts) < r.Count
	case errors.Is(err, cloud.ErrNoCapacity):
		a.node.Log.Info("rental refused", "request", r.Name, "machine_type", r.MachineType, "zone", r.Zone, "spot", r.Spot)
		refused = true
	default:
		a.node.Log.Info("rental outcome unknown", "request", r.Name, "err", err)
	}
	if refused {
		a.catalog.BackOff(&offer, by.DecidedAt)
	}
	return refused
}
