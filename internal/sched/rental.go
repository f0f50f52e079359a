package sched

import "slices"

// Offer is a machine type in one zone, ordinary or spot, that can be rented.
type Offer struct {
	MachineType, Zone string
	Spot              bool
	Capacity          Resources
	Price             float64
}

// UnmetDemand is a job's tasks that found no room.
type UnmetDemand struct {
	Request  TaskRequest
	Count    int
	Assigned func(zone string) // is called with each task's zone, for Request.ZoneAllowed; may be nil
}

// RentalOrder is a number of machines to rent.
type RentalOrder struct {
	Offer Offer
	Count int
}

// PlanRentals returns what to rent for the unmet tasks, after assigning tasks to the machines
// that are coming already, whose room it subtracts from. Of the offers that fit, the one that
// is cheapest for the task is taken; the zone home breaks a tie.
func PlanRentals(unmet []UnmetDemand, coming []*Host, offers []Offer, home string) []RentalOrder {
	p := &rentPlan{hosts: hostsWithRoom(coming, unmet), offers: offers, home: home}
	for i := range unmet {
		p.fill(&unmet[i])
	}
	return p.orders
}

// rentPlan is the state of PlanRentals.
type rentPlan struct {
	hosts  []*Host // coming and to be rented, with room
	full   []*Host // without processors or accelerators left: only tasks without accelerators look at them
	offers []Offer
	home   string
	orders []RentalOrder

	ranking, rankingFull *Ranking
}

// fill finds room for one job's tasks.
func (p *rentPlan) fill(u *UnmetDemand) {
	p.ranking = NewRanking(p.ranking, p.hosts, &u.Request)
	if u.Request.Need.GPUs == 0 {
		p.rankingFull = NewRanking(p.rankingFull, p.full, &u.Request)
	}
	for range u.Count {
		h := p.ranking.Best(u.Request.ZoneAllowed)
		if h == nil && u.Request.Need.GPUs == 0 {
			h = p.rankingFull.Best(u.Request.ZoneAllowed)
		}
		if h == nil {
			offer := cheapestOffer(p.offers, &u.Request, p.home)
			if offer == nil {
				break
			}
			h = p.rent(offer)
			p.ranking.Add(h)
		}
		h.Free = h.Free.Sub(u.Request.Need)
		if u.Assigned != nil {
			u.Assigned(h.Zone)
		}
	}
	p.hosts = slices.DeleteFunc(p.hosts, func(h *Host) bool {
		full := h.Free.CPUs < epsilon || h.Capacity.GPUs > 0 && h.Free.GPUs < epsilon
		if full {
			p.full = append(p.full, h)
		}
		return full
	})
}

// rent adds a machine of an offer to the orders and returns it.
func (p *rentPlan) rent(o *Offer) *Host {
	h := &Host{Name: "new", MachineType: o.MachineType, Zone: o.Zone, Spot: o.Spot, Capacity: o.Capacity, Free: o.Capacity}
	p.hosts = append(p.hosts, h)
	at := slices.IndexFunc(p.orders, func(x RentalOrder) bool { return x.Offer == *o })
	if at < 0 {
		p.orders = append(p.orders, RentalOrder{Offer: *o})
		at = len(p.orders) - 1
	}
	p.orders[at].Count++
	return h
}

// hostsWithRoom returns the machines that may have room for some of the tasks: most have
// none, and each task is compared with all that are left.
func hostsWithRoom(hosts []*Host, unmet []UnmetDemand) []*Host {
	if len(unmet) == 0 {
		return nil
	}
	least := unmet[0].Request.Need
	for _, u := range unmet[1:] {
		n := u.Request.Need
		least = Resources{min(least.CPUs, n.CPUs), min(least.GPUs, n.GPUs), min(least.MemGB, n.MemGB)}
	}
	var out []*Host
	for _, h := range hosts {
		if h.Free.Fits(least) {
			out = append(out, h)
		}
	}
	return out
}

// mostTasksPerMachine bounds tasksPerMachine for tasks that need nothing.
const mostTasksPerMachine = 1000

// tasksPerMachine returns the number of such tasks that fit into an empty machine.
func tasksPerMachine(capacity, need Resources) float64 {
	tasks := float64(mostTasksPerMachine)
	for _, amount := range [...]struct{ capacity, need float64 }{
		{capacity.CPUs, need.CPUs}, {capacity.GPUs, need.GPUs}, {capacity.MemGB, need.MemGB},
	} {
		if amount.need > 0 {
			tasks = min(tasks, float64(int(amount.capacity/amount.need+epsilon)))
		}
	}
	return tasks
}

// cheapestOffer returns the offer whose price for one task is lowest, nil if none fits. Among
// equals one in the zone home wins.
func cheapestOffer(offers []Offer, a *TaskRequest, home string) *Offer {
	var best *Offer
	var bestCost float64
	for i := range offers {
		o := &offers[i]
		if !o.Capacity.Fits(a.Need) || !a.Allows(o.MachineType, o.Zone, o.Spot) {
			continue
		}
		cost := o.Price / tasksPerMachine(o.Capacity, a.Need)
		nearer := best != nil && o.Zone == home && best.Zone != home
		if best == nil || cost < bestCost-epsilon || nearer && cost < bestCost+epsilon {
			best, bestCost = o, cost
		}
	}
	return best
}
