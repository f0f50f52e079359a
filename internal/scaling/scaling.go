package scaling

import (
	"context"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/commands"
	"violetturn/internal/decisions"
	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/sched"
	"violetturn/internal/state"
	"violetturn/internal/timing"
)

// Loop rents, lists and returns machines.
type Loop struct {
	node      *node.Info
	guard     *state.Guard
	services  *external.Services
	commands  *commands.Sender
	decisions *decisions.Loop
	wake      notify.Signal // there is something to decide

	typesReadAt time.Time // when the machine types were last read; zero: never
	list        machineList
	rentals     rentals
}

// Deps is what a Loop rests on.
type Deps struct {
	Node      *node.Info
	Guard     *state.Guard
	Services  *external.Services
	Commands  *commands.Sender
	Decisions *decisions.Loop
	Wake      notify.Signal
}

// New returns a Loop that has asked the cloud nothing yet.
func New(d Deps) *Loop {
	return &Loop{
		node: d.Node, guard: d.Guard, services: d.Services, commands: d.Commands, decisions: d.Decisions, wake: d.Wake,
		rentals: rentals{unanswered: map[sched.Offer]cloud.RentalRequest{}},
	}
}

// AutoscaleLoop rents, lists and returns machines at intervals, until ctx ends.
func (l *Loop) AutoscaleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.Autoscale(ctx)
		timing.Sleep(ctx, l.node.Settings.AutoscaleInterval())
	}
}

const (
	// maxRentalRounds is how often a round looks for offers: a refusal is followed at once by the
	// next best offer.
	maxRentalRounds = 6
	// typesLeases is for how many worker leases the machine types are used before they are read again.
	typesLeases = 2
)

// Autoscale does one round: it rents what lacks room, reads the list of machines and returns those
// that are not needed.
func (l *Loop) Autoscale(ctx context.Context) {
	now := l.node.Now()
	l.readMachineTypes(ctx, now)
	state := l.guard.Lock()
	headroom := state.Autoscaler.DueHeadroom(now)
	l.guard.Unlock()
	for range maxRentalRounds {
		if !l.scaleOut(ctx, headroom) {
			break
		}
	}
	l.readMachineList(ctx, now)
	l.scaleIn(ctx)
}

// readMachineTypes reads the cloud's machine types if it is time to.
func (l *Loop) readMachineTypes(ctx context.Context, now time.Time) {
	if !l.typesReadAt.IsZero() && now.Sub(l.typesReadAt) <= typesLeases*l.node.Settings.WorkerLease() {
		return
	}
	types, err := l.services.Cloud.MachineTypes(ctx)
	if err != nil {
		l.node.Log.Debug("machine types not read", "err", err)
		return
	}
	l.typesReadAt = now
	state := l.guard.Lock()
	state.Catalog.SetMachineTypes(types)
	l.guard.Unlock()
	l.wake.Notify()
}
