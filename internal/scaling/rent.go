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

// rentals is the state of the rental requests.
type rentals struct {
	unresolved   map[sched.Offer]cloud.RentalRequest // requests with unknown outcome: each is repeated under its name
	requestCount int                                 // number of request names used so far
}

// rentalOutcome is the result of renting for one order.
type rentalOutcome uint8

const (
	rentalFulfilled      rentalOutcome = iota // all machines were rented, or as many as one run may request
	rentalRefused                             // the cloud rented fewer machines than requested
	rentalOutcomeUnknown                      // a request failed, but the cloud may have carried it out
)

// scaleOut rents machines for tasks that lack capacity and for the headroom. It reports whether an
// offer was refused, so that another offer should be tried.
func (l *Loop) scaleOut(ctx context.Context, headroom []autoscaler.HeadroomRequest) (retry bool) {
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
		case rentalFulfilled:
		case rentalRefused:
			retry = true
		case rentalOutcomeUnknown:
			return false
		}
	}
	l.decisions.RegisterMachines(ctx)
	return retry
}

// rentMachines rents the machines of one order, in up to config.CloudCallsPerRun requests of at
// most cloud.MaxMachinesPerRental machines each.
func (l *Loop) rentMachines(ctx context.Context, order sched.RentalOrder, renting autoscaler.RentingShard) rentalOutcome {
	remaining := order.Count
	for calls := 0; remaining > 0 && calls < config.CloudCallsPerRun; calls++ {
		request, unresolved := l.rentals.unresolved[order.Offer]
		if !unresolved {
			request = l.newRentalRequest(order.Offer, min(remaining, cloud.MaxMachinesPerRental), renting)
		}
		hosts, err := l.services.Cloud.Rent(ctx, request)
		state := l.guard.Lock()
		refused := state.Autoscaler.RecordRental(request, hosts, err, renting)
		l.guard.Unlock()
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			l.rentals.unresolved[order.Offer] = request
			return rentalOutcomeUnknown
		}
		delete(l.rentals.unresolved, order.Offer)
		if refused {
			return rentalRefused
		}
		remaining -= len(hosts)
	}
	return rentalFulfilled
}

// newRentalRequest returns a rental request with a unique name. The name consists of shard, term
// and a number, so that no peer, and no later incarnation of this one, uses it.
func (l *Loop) newRentalRequest(offer sched.Offer, count int, renting autoscaler.RentingShard) cloud.RentalRequest {
	l.rentals.requestCount++
	return cloud.RentalRequest{
		Name:        fmt.Sprintf("%s-%d-%d", renting.Shard, renting.Term, l.rentals.requestCount),
		MachineType: offer.MachineType,
		Zone:        offer.Zone,
		Spot:        offer.Spot,
		Count:       count,
	}
}
