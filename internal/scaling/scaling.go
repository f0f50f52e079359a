package scaling

import (
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/commands"
	"violetturn/internal/decisions"
	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/sched"
	"violetturn/internal/state"
)

// rentalState is what the cloud's rounds remember; only they use it.
type rentalState struct {
	typesReadAt, listReadAt time.Time
	listing                 cloud.Listing                       // the list, as far as it has been read
	Unanswered              map[sched.Offer]cloud.RentalRequest // rentals without an answer, repeated under their names
	requests                int                                 // names given to rental requests so far
}

// Loop rents, lists and returns machines.
type Loop struct {
	node      *node.Info
	guard     *state.Guard
	services  *external.Services
	commands  *commands.Sender
	decisions *decisions.Loop
	wake      notify.Signal

	Rentals rentalState
}

// Deps is what a scalingLoop rests on.
type Deps struct {
	Node      *node.Info
	Guard     *state.Guard
	Services  *external.Services
	Commands  *commands.Sender
	Decisions *decisions.Loop
	Wake      notify.Signal
}

func New(d Deps) *Loop {
	return &Loop{
		node: d.Node, guard: d.Guard, services: d.Services, commands: d.Commands, decisions: d.Decisions, wake: d.Wake,
		Rentals: rentalState{
			Unanswered: map[sched.Offer]cloud.RentalRequest{},
		},
	}
}
