package decisions

import (
	"context"
	"time"

	"violetturn/internal/commands"
	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/state"
	"violetturn/internal/store"
	"violetturn/internal/storesync"
	"violetturn/internal/timing"
)

// Loop commits what jobs and heartbeats call for.
type Loop struct {
	node         *node.Info
	guard        *state.Guard
	services     *external.Services
	sync         *storesync.Sync
	commands     *commands.Sender
	wake         notify.Signal // there is something to decide
	gangAccepted notify.Signal // a gang has been accepted
}

// Deps is what a Loop rests on.
type Deps struct {
	Node         *node.Info
	Guard        *state.Guard
	Services     *external.Services
	Sync         *storesync.Sync
	Commands     *commands.Sender
	Wake         notify.Signal
	GangAccepted notify.Signal
}

// New returns a Loop that has decided nothing yet.
func New(d Deps) *Loop {
	return &Loop{
		node: d.Node, guard: d.Guard, services: d.Services, sync: d.Sync, commands: d.Commands,
		wake: d.Wake, gangAccepted: d.GangAccepted,
	}
}

// restPerPlanning is how many times the processor time of its plans a node leaves between two
// runs of its rounds, so that a slow processor has most of its time for heartbeats.
const restPerPlanning = 3

// Run commits what heartbeats and jobs call for, one transaction at a time, until ctx
// ends. It runs when something has changed and at least twice in a heartbeat interval, and
// leaves some time between: what comes together is committed together.
func (l *Loop) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(l.node.Settings.HeartbeatInterval() / 2)
		select {
		case <-l.wake:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		l.Decide(ctx)
		state := l.guard.Lock()
		planning := state.Scheduler.ResetPlanningTime()
		l.guard.Unlock()
		if !timing.Sleep(ctx, max(l.node.Settings.DecisionInterval(), restPerPlanning*planning)) {
			return
		}
	}
}

// round is one kind of decision.
type round struct {
	name string
	run  func(*Loop, context.Context) (more bool) // commits at most one transaction as a rule; reports whether there is more to commit
}

// rounds are the kinds of decisions in their order. What frees room or tells what a zone can take
// goes before placements, and what nothing waits for comes last.
var rounds = []round{
	{"zones", (*Loop).updateZones},
	{"registrations", (*Loop).RegisterMachines},
	{"gang updates", (*Loop).UpdateGangs},
	{"ends of tasks", (*Loop).commitEnds},
	{"ends of jobs", (*Loop).archiveJobs},
	{"placements", (*Loop).placeTasks},
	{"capacity records", (*Loop).refreshCapacityRecord},
	{"deregistrations", (*Loop).deregisterMachines},
	{"splits", (*Loop).splitRecords},
}

const (
	// maxRepeats bounds how often a round is run before the next one has its turn.
	maxRepeats = 16
	// minDecisionWrites is how many changes the budget has to hold before anything is decided.
	minDecisionWrites = 2
)

// Decide runs each round until it has nothing more to commit.
func (l *Loop) Decide(ctx context.Context) {
	// Under load the budget of changes sets the pace: what comes together while
	// it fills goes into few large transactions instead of many small ones.
	if !l.sync.MayActNow() || l.awaitWrites(ctx, l.fullTransaction(), store.PriorityDecision) < minDecisionWrites ||
		l.sync.RefreshCache(ctx) != nil {
		return
	}
	for _, r := range rounds {
		for range maxRepeats {
			if !l.sync.MayActNow() || ctx.Err() != nil {
				return
			}
			more := r.run(l, ctx)
			l.placeNewGangs(ctx)
			if !more {
				break
			}
		}
	}
	l.commands.RequestHeartbeats(ctx)
}

// fullTransaction is how many changes a transaction takes that this node's budget earns in a
// second at most.
func (l *Loop) fullTransaction() int {
	return min(l.node.Settings.LowestLimits().TxnOps, l.sync.WritesPerSecond())
}
