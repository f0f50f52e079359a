package scaling

import (
	"context"
	"errors"
	"fmt"

	"violetturn/internal/autoscaler"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/sched"
)

// rentals is what is remembered of rental requests.
type rentals struct {
	unanswered map[sched.Offer]cloud.RentalRequest // requests in doubt: each is repeated under its name
	requests   int                                 // names used for requests so far
}

// rentalOutcome is what became of an order of machines.
type rentalOutcome uint8

const (
	rentalServed  rentalOutcome = iota // all were rented, or as many as a round may ask for
	rentalRefused                      // the cloud gave fewer than were asked for
	rentalInDoubt                      // a request had no answer
)

// scaleOut rents what lacks room. It reports whether an offer was refused, so that another may do.
func (l *Loop) scaleOut(ctx context.Context, headroom []autoscaler.HeadroomRequest) (again bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	orders := state.Autoscaler.RentalOrders(now, headroom)
	renting := state.Autoscaler.RentingShard(now)
	l.guard.Unlock()
	if renting.Shard == "" || len(orders) == 0 {
		return false
	}
	for _, order := range orders {
		switch l.rentMachines(ctx, order, renting) {
		case rentalServed:
		case rentalRefused:
			again = true
		case rentalInDoubt:
			return false
		}
	}
	l.decisions.RegisterMachines(ctx)
	return again
}

// rentMachines rents the machines of one order, in as many requests as a round may take: one
// request returns cloud.MaxMachinesPerRental machines at most.
func (l *Loop) rentMachines(ctx context.Context, order sched.RentalOrder, renting autoscaler.RentingShard) rentalOutcome {
	wanted := order.Count
	for calls := 0; wanted > 0 && calls < config.CloudCallsPerRun; calls++ {
		request, unanswered := l.rentals.unanswered[order.Offer]
		if !unanswered {
			request = l.newRequest(order.Offer, min(wanted, cloud.MaxMachinesPerRental), renting)
		}
		hosts, err := l.services.Cloud.Rent(ctx, request)
		state := l.guard.Lock()
		refused := state.Autoscaler.RecordRental(request, hosts, err, renting)
		l.guard.Unlock()
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			l.rentals.unanswered[order.Offer] = request
			return rentalInDoubt
		}
		delete(l.rentals.unanswered, order.Offer)
		if refused {
			return rentalRefused
		}
		wanted -= len(hosts)
	}
	return rentalServed
}

// newRequest makes a rental request under a name of its own: shard, term and number, which no
// other node or life of one ever uses.
func (l *Loop) newRequest(offer sched.Offer, count int, renting autoscaler.RentingShard) cloud.RentalRequest {
	l.rentals.requests++
	return cloud.RentalRequest{
		Name:        fmt.Sprintf("%s-%d-%d", renting.Shard, renting.Term, l.rentals.requests),
		MachineType: offer.MachineType,
		Zone:        offer.Zone,
		Spot:        offer.Spot,
		Count:       count,
	}
}
