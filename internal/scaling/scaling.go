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

// Loop is the autoscaling loop: it rents, lists and returns machines.
type Loop struct {
	node      *node.Info
	guard     *state.Guard
	services  *external.Services
	commands  *commands.Sender
	decisions *decisions.Loop
	wake      notify.Signal // wakes the decision loop

	machineTypesReadAt time.Time // when the machine types were last read; zero: never
	list               machineList
	rentals            rentals
}

// Deps are the dependencies of a Loop.
type Deps struct {
	Node      *node.Info
	Guard     *state.Guard
	Services  *external.Services
	Commands  *commands.Sender
	Decisions *decisions.Loop
	Wake      notify.Signal
}

// New returns a Loop that has sent no request to the cloud yet.
func New(d Deps) *Loop {
	return &Loop{
		node: d.Node, guard: d.Guard, services: d.Services, commands: d.Commands, decisions: d.Decisions, wake: d.Wake,
		rentals: rentals{unresolved: map[sched.Offer]cloud.RentalRequest{}},
	}
}

// Run calls Autoscale at intervals until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.Autoscale(ctx)
		timing.Sleep(ctx, l.node.Settings.AutoscaleInterval())
	}
}

const (
	// maxRentalAttempts is the maximum number of rental decisions in one run. After a refusal, the
	// next best offer is tried at once.
	maxRentalAttempts = 6
	// machineTypesMaxAgeLeases is the age, in durations of a worker's lease, above which the machine
	// types are read again.
	machineTypesMaxAgeLeases = 2
)

// Autoscale makes one run: it rents machines for tasks that lack capacity and for headroom, reads
// the list of machines, and returns machines that are not needed.
func (l *Loop) Autoscale(ctx context.Context) {
	now := l.node.Now()
	l.readMachineTypes(ctx, now)
	state := l.guard.Lock()
	headroom := state.Autoscaler.DueHeadroom(now)
	l.guard.Unlock()
	for range maxRentalAttempts {
		if !l.scaleOut(ctx, headroom) {
			break
		}
	}
	l.readMachineList(ctx, now)
	l.scaleIn(ctx)
}

// readMachineTypes reads the cloud's machine types if they have not been read or are too old.
func (l *Loop) readMachineTypes(ctx context.Context, now time.Time) {
	if !l.machineTypesReadAt.IsZero() && now.Sub(l.machineTypesReadAt) <= machineTypesMaxAgeLeases*l.node.Settings.WorkerLease() {
		return
	}
	types, err := l.services.Cloud.MachineTypes(ctx)
	if err != nil {
		l.node.Log.Debug("machine types not read", "err", err)
		return
	}
	l.machineTypesReadAt = now
	state := l.guard.Lock()
	state.Catalog.SetMachineTypes(types)
	l.guard.Unlock()
	l.wake.Notify()
}
