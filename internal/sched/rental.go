package sched

import (
	"math"
	"slices"
)

// Offer is a machine type that can be rented in one zone, as an on-demand or a spot machine.
type Offer struct {
	MachineType, Zone string
	Spot              bool
	Capacity          Resources
	Price             float64
}

// UnmetDemand is a number of tasks of one job that lack capacity.
type UnmetDemand struct {
	Request    TaskRequest
	Count      int
	OnAssigned func(zone string) // called with each assigned task's zone, which Request.ZoneAllowed may depend on; may be nil
}

// RentalOrder is an offer and the number of machines to rent of it.
type RentalOrder struct {
	Offer Offer
	Count int
}

// PlanRentals returns what to rent for the unmet tasks. It first assigns tasks to the machines that
// are being provisioned, subtracting from their free capacity. Of the offers that fit, it selects
// the one with the lowest price per task; ties go to preferredZone.
func PlanRentals(unmet []UnmetDemand, provisioning []*Host, offers []Offer, preferredZone string) []RentalOrder {
	plan := &rentalPlan{hosts: hostsWithCapacity(provisioning, unmet), offers: offers, preferredZone: preferredZone}
	for i := range unmet {
		plan.placeDemand(&unmet[i])
	}
	return plan.orders
}

// rentalPlan is the working state of PlanRentals.
type rentalPlan struct {
	hosts         []*Host // provisioning and ordered machines with free capacity
	fullHosts     []*Host // machines with no CPUs or no GPUs left, searched only for tasks without GPUs
	offers        []Offer
	preferredZone string
	orders        []RentalOrder

	ranking, fullRanking *Ranking
}

// placeDemand assigns the tasks of one job to machines, and orders machines for those that do not fit.
func (p *rentalPlan) placeDemand(demand *UnmetDemand) {
	p.ranking = NewRanking(p.ranking, p.hosts, &demand.Request)
	if demand.Request.Need.GPUs == 0 {
		p.fullRanking = NewRanking(p.fullRanking, p.fullHosts, &demand.Request)
	}
	for range demand.Count {
		h := p.ranking.Best(demand.Request.ZoneAllowed)
		if h == nil && demand.Request.Need.GPUs == 0 {
			h = p.fullRanking.Best(demand.Request.ZoneAllowed)
		}
		if h == nil {
			offer := cheapestOffer(p.offers, &demand.Request, p.preferredZone)
			if offer == nil {
				break
			}
			h = p.orderMachine(offer)
			p.ranking.Add(h)
		}
		h.Free = h.Free.Sub(demand.Request.Need)
		if demand.OnAssigned != nil {
			demand.OnAssigned(h.Zone)
		}
	}
	p.hosts = slices.DeleteFunc(p.hosts, func(h *Host) bool {
		full := h.Free.CPUs < epsilon || h.Capacity.GPUs > 0 && h.Free.GPUs < epsilon
		if full {
			p.fullHosts = append(p.fullHosts, h)
		}
		return full
	})
}

// orderMachine adds a machine of an offer to the orders and returns it.
func (p *rentalPlan) orderMachine(offer *Offer) *Host {
	h := &Host{
		Name: "new", MachineType: offer.MachineType, Zone: offer.Zone, Spot: offer.Spot, Capacity: offer.Capacity,
		Free: offer.Capacity,
	}
	p.hosts = append(p.hosts, h)
	index := slices.IndexFunc(p.orders, func(order RentalOrder) bool { return order.Offer == *offer })
	if index < 0 {
		p.orders = append(p.orders, RentalOrder{Offer: *offer})
		index = len(p.orders) - 1
	}
	p.orders[index].Count++
	return h
}

// hostsWithCapacity returns the machines that may fit some of the tasks. Most have no free capacity,
// and each task is compared with all machines that remain.
func hostsWithCapacity(hosts []*Host, unmet []UnmetDemand) []*Host {
	if len(unmet) == 0 {
		return nil
	}
	smallestNeed := unmet[0].Request.Need
	for _, u := range unmet[1:] {
		need := u.Request.Need
		smallestNeed = smallestNeed.Min(need)
	}
	var fitting []*Host
	for _, h := range hosts {
		if h.Free.Fits(smallestNeed) {
			fitting = append(fitting, h)
		}
	}
	return fitting
}

// maxTasksPerMachine limits tasksPerMachine for tasks that need no resources.
const maxTasksPerMachine = 1000

// tasksPerMachine returns the number of such tasks that fit on an empty machine.
func tasksPerMachine(capacity, need Resources) float64 {
	tasks := float64(maxTasksPerMachine)
	for _, amount := range [...]struct{ capacity, need float64 }{
		{capacity.CPUs, need.CPUs}, {capacity.GPUs, need.GPUs}, {capacity.MemGB, need.MemGB}, {capacity.ReportBytes, need.ReportBytes},
	} {
		if amount.need > 0 {
			tasks = min(tasks, math.Floor(amount.capacity/amount.need+epsilon))
		}
	}
	return tasks
}

// cheapestOffer returns the offer with the lowest price per task, or nil if none fits. Ties go to an
// offer in preferredZone.
func cheapestOffer(offers []Offer, request *TaskRequest, preferredZone string) *Offer {
	var best *Offer
	var bestCost float64
	for i := range offers {
		offer := &offers[i]
		if !offer.Capacity.Fits(request.Need) || !request.Allows(offer.MachineType, offer.Zone, offer.Spot) {
			continue
		}
		cost := offer.Price / tasksPerMachine(offer.Capacity, request.Need)
		movesToPreferredZone := best != nil && offer.Zone == preferredZone && best.Zone != preferredZone
		if best == nil || cost < bestCost-epsilon || movesToPreferredZone && cost < bestCost+epsilon {
			best, bestCost = offer, cost
		}
	}
	return best
}
