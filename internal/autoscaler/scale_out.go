package autoscaler

import (
	"errors"
	"slices"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// sufficientHeadroom records when the headroom was last compared with the capacity, and for how
// many tasks of each class the capacity sufficed.
type sufficientHeadroom struct {
	checkedAt    time.Time
	tasksByClass map[string]int
}

// DueHeadroom returns the headroom to check and rent for now, or nil if no check is due. One
// controller, the leader of the first shard, does this for all. A new check may be delayed by a
// time that is short compared with the boot time of a machine, unless a class needs headroom for
// more tasks than the last check found sufficient capacity for.
func (a *Autoscaler) DueHeadroom(now time.Time) []HeadroomRequest {
	if !a.leadership.Leads(a.node.Shards[0]) {
		return nil
	}
	requests := a.headroomRequests(now)
	grown := slices.ContainsFunc(requests, func(h HeadroomRequest) bool { return h.taskCount() > a.lastSufficient.tasksByClass[h.class] })
	if !grown && !a.isCheckDue(a.lastSufficient.checkedAt, now) {
		return nil
	}
	return requests
}

// RentalOrders returns the machines to rent for tasks that do not fit on existing and provisioning
// machines, and for the headroom.
func (a *Autoscaler) RentalOrders(now time.Time, headroom []HeadroomRequest) []sched.RentalOrder {
	if len(headroom) == 0 && !a.scheduler.HasPendingTasks() {
		return nil
	}
	plan := a.scheduler.RecentPlan(now)
	preferredZone := a.node.Settings.Zone
	orders := sched.PlanRentals(plan.UnmetDemand, a.capacityCalculator.ProvisioningHosts(now, false),
		a.catalog.AvailableOffers(now), preferredZone)
	if len(headroom) == 0 {
		return orders
	}
	// Tasks that lack capacity now, here and at the peers, have been rented for already, so they
	// get their share of the provisioning machines before the headroom does.
	hosts := append(a.capacityCalculator.ProvisioningHosts(now, true), plan.RemainingHosts...)
	sched.PlanRentals(plan.AllUnmetDemand, hosts, nil, "")
	sufficient := sufficientHeadroom{checkedAt: now, tasksByClass: map[string]int{}}
	for _, request := range headroom {
		candidates := a.capacityCalculator.WithPreemptibleCapacity(hosts, request.priority)
		additional := sched.PlanRentals(request.demands, candidates, a.catalog.AvailableOffers(now), preferredZone)
		if len(additional) == 0 { // otherwise the next run rents the rest, as one run's rentals are limited
			sufficient.tasksByClass[request.class] = request.taskCount()
		}
		orders = append(orders, additional...)
	}
	a.lastSufficient = sufficient
	return orders
}

// RentingShard is the shard for which machines are rented, and the time of that decision.
type RentingShard struct {
	Shard     string // "": this controller leads no shard
	Term      uint64
	DecidedAt time.Time
}

// RentingShard returns the shard for which machines are rented: the shard named after this
// controller if it leads that, otherwise the first shard that it leads.
func (a *Autoscaler) RentingShard(now time.Time) RentingShard {
	renting := RentingShard{DecidedAt: now}
	for _, name := range a.node.Shards {
		shardLeadership := a.leadership.InForce(name)
		if shardLeadership != nil && (renting.Shard == "" || name == a.node.Settings.HostName) {
			renting.Shard, renting.Term = name, shardLeadership.Term
		}
	}
	return renting
}

// RecordRental records the cloud's response to a rental request, and reports whether the cloud
// rented fewer machines than requested. After an error other than cloud.ErrNoCapacity it is unknown
// whether machines were rented.
func (a *Autoscaler) RecordRental(request cloud.RentalRequest, hosts []string, err error, renting RentingShard) (refused bool) {
	offer := sched.Offer{MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot}
	switch {
	case err == nil:
		a.catalog.ClearBackoff(&offer)
		a.node.Log.Info("machines rented",
			"request", request.Name, "machine_type", request.MachineType, "zone", request.Zone, "spot", request.Spot,
			"requested", request.Count, "hosts", hosts)
		for _, host := range hosts {
			a.agents.Unregistered().SetRented(host, shard.Machine{
				MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot, RentedFor: renting.Shard,
			})
		}
		refused = len(hosts) < request.Count
	case errors.Is(err, cloud.ErrNoCapacity):
		a.node.Log.Info("rental refused",
			"request", request.Name, "machine_type", request.MachineType, "zone", request.Zone, "spot", request.Spot)
		refused = true
	default:
		a.node.Log.Info("rental outcome unknown", "request", request.Name, "err", err)
	}
	if refused {
		a.catalog.BackOff(&offer, renting.DecidedAt)
	}
	return refused
}
