package autoscaler

import (
	"errors"
	"slices"
	"time"

	"violetturn/internal/catalog"
	"violetturn/internal/cloud"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// DueHeadroom returns the room to be kept for what is still to come if this node is to look
// now whether there is enough of it: one node does it for all. After there was enough, that
// may wait a little, against a boot, unless more is wanted by now.
func (as *Autoscaler) DueHeadroom(now time.Time) []HeadroomRequest {
	if !as.leadership.Leads(as.node.Shards[0]) {
		return nil
	}
	wants := as.headroom(now)
	more := slices.ContainsFunc(wants, func(w HeadroomRequest) bool { return w.tasks() > as.sufficientHeadroom.tasks[w.class] })
	if !more && now.Sub(as.sufficientHeadroom.at) < as.catalog.ShortestBoot()/16 {
		return nil
	}
	return wants
}

// sufficientHeadroom is when there was enough headroom last, and for how many tasks by class.
type sufficientHeadroom struct {
	at    time.Time
	tasks map[string]int
}

// RentalOrders returns what to rent for what lacks room after the machines that are coming,
// and for the headroom that is wanted.
func (as *Autoscaler) RentalOrders(now time.Time, headroom []HeadroomRequest) []sched.RentalOrder {
	if len(headroom) == 0 && !as.scheduler.HasPendingTasks() {
		return nil
	}
	p := as.scheduler.ReusePlan(now)
	orders := sched.PlanRentals(p.Unmet, as.room.ProvisioningHosts(now, false), as.catalog.AvailableOffers(now), as.node.Settings.Zone)
	if len(headroom) == 0 {
		return orders
	}
	// What lacks room now, here and at the peers, has been rented for and takes its
	// share of what is coming.
	sim := append(as.room.ProvisioningHosts(now, true), p.Remaining...)
	sched.PlanRentals(p.AllUnmet, sim, nil, "")
	enough := sufficientHeadroom{now, map[string]int{}}
	for _, w := range headroom {
		more := sched.PlanRentals(w.requests, as.room.WithPreemptibleRoom(sim, w.priority), as.catalog.AvailableOffers(now), as.node.Settings.Zone)
		if len(more) == 0 { // else again in the next round: one takes no more than the cloud gives at once
			enough.tasks[w.class] = w.tasks()
		}
		orders = append(orders, more...)
	}
	as.sufficientHeadroom = enough
	return orders
}

// RentingShard is for whom machines are rented, and when that was decided.
type RentingShard struct {
	Shard string
	Term  uint64
	At    time.Time
}

// RentingShard returns the shard that machines are rented for, this node's home if it owns it,
// and its term; "" if it owns none.
func (as *Autoscaler) RentingShard() (name string, term uint64) {
	for _, x := range as.node.Shards {
		if o := as.leadership.InForce(x); o != nil && (name == "" || x == as.node.Settings.HostName) {
			name, term = x, o.Term
		}
	}
	return name, term
}

// NoteRental takes in the cloud's answer to a rental, and reports whether it gave less than was
// asked for.
func (as *Autoscaler) NoteRental(r cloud.RentalRequest, hosts []string, err error, home string, now time.Time) (refused bool) {
	key := catalog.OfferKey(sched.Offer{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot})
	switch {
	case err == nil:
		delete(as.catalog.CapacityBackoffs, key)
		as.node.Log.Info(
			"machines rented", "request", r.Name, "machine_type", r.MachineType, "zone", r.Zone, "spot", r.Spot,
			"requested", r.Count, "hosts", hosts,
		)
		for _, h := range hosts {
			as.agents.Unregistered[h] = shard.Machine{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, RentedFor: home}
		}
		refused = len(hosts) < r.Count
	case errors.Is(err, cloud.ErrNoCapacity):
		as.node.Log.Info("rental refused", "request", r.Name, "machine_type", r.MachineType, "zone", r.Zone, "spot", r.Spot)
		refused = true
	default:
		as.node.Log.Info("rental outcome unknown", "request", r.Name, "err", err)
	}
	if refused {
		as.catalog.BackOff(key, r.MachineType, now)
	}
	return refused
}
