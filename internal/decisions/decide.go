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

// Loop makes the scheduler's decisions and commits them.
type Loop struct {
	node         *node.Info
	guard        *state.Guard
	services     *external.Services
	sync         *storesync.Sync
	commands     *commands.Sender
	wake         notify.Signal // signaled when there may be something to decide
	gangAccepted notify.Signal // signaled when a gang has been accepted
}

// Deps are the dependencies of a Loop.
type Deps struct {
	Node         *node.Info
	Guard        *state.Guard
	Services     *external.Services
	Sync         *storesync.Sync
	Commands     *commands.Sender
	Wake         notify.Signal
	GangAccepted notify.Signal
}

// New returns a Loop that has not made any decision yet.
func New(d Deps) *Loop {
	return &Loop{
		node: d.Node, guard: d.Guard, services: d.Services, sync: d.Sync, commands: d.Commands,
		wake: d.Wake, gangAccepted: d.GangAccepted,
	}
}

// idlePerPlanningTime is the minimum ratio of the pause after a call of Decide to the time that its
// plans took, so that a slow processor spends most of its time on heartbeats.
const idlePerPlanningTime = 3

// Run calls Decide until ctx ends: when a signal shows that there may be something to decide, and at
// least twice per heartbeat interval. It pauses between two calls, so that changes that arrive close
// together are committed together.
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
		planningTime := state.Scheduler.ResetPlanningTime()
		l.guard.Unlock()
		if !timing.Sleep(ctx, max(l.node.Settings.DecisionInterval(), idlePerPlanningTime*planningTime)) {
			return
		}
	}
}

// decisionStep is one kind of decision.
type decisionStep struct {
	name string
	run  func(*Loop, context.Context) (more bool) // usually commits at most one transaction; reports whether there is more to commit
}

// decisionSteps are the kinds of decisions in the order in which they are made. Those that free
// capacity, or determine what may be placed in a zone, come before placements; those that no other
// work depends on come last.
var decisionSteps = []decisionStep{
	{"zones", (*Loop).updateZones},
	{"registrations", (*Loop).RegisterMachines},
	{"gang updates", (*Loop).UpdateGangs},
	{"task ends", (*Loop).commitTaskEnds},
	{"archive", (*Loop).archiveJobs},
	{"placements", (*Loop).placeTasks},
	{"capacity records", (*Loop).refreshCapacityRecord},
	{"deregistrations", (*Loop).deregisterMachines},
	{"splits", (*Loop).splitRecords},
}

const (
	// maxStepRuns limits how often a step runs in a row before the next step.
	maxStepRuns = 16
	// minDecisionWrites is the number of writes that the budget has to hold before anything is
	// decided.
	minDecisionWrites = 2
)

// Decide runs each step, in order, until it has nothing more to commit or has run maxStepRuns times.
func (l *Loop) Decide(ctx context.Context) {
	// Under load the write budget limits the rate of transactions. What accumulates while the
	// budget refills is committed in a few large transactions instead of many small ones.
	if !l.sync.MayActNow() || l.awaitWrites(ctx, l.targetTransactionWrites(), store.PriorityDecision) < minDecisionWrites ||
		l.sync.RefreshCache(ctx) != nil {
		return
	}
	for _, step := range decisionSteps {
		for range maxStepRuns {
			if !l.sync.MayActNow() || ctx.Err() != nil {
				return
			}
			more := step.run(l, ctx)
			l.placeWaitingGangs(ctx)
			if !more {
				break
			}
		}
	}
	l.commands.RequestHeartbeats(ctx)
}

// targetTransactionWrites returns the number of writes that Decide waits for: as many as a
// transaction may have, but not more than this controller's budget gains in a second.
func (l *Loop) targetTransactionWrites() int {
	return min(l.node.Settings.LowestLimits().TxnOps, l.sync.WritesPerSecond())
}
