package controller

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/simulator"
)

// faultAction is an action that a generated test can draw: a fault, an action of a user, or the
// passing of time.
type faultAction struct {
	name string
	run  func(t *rapid.T)
}

// drawnCluster is a cluster in which a generated test draws the events.
type drawnCluster struct{ *testCluster }

// faultActions returns the actions that a generated test draws from, by name. The action with the
// empty name is the check that rapid runs after each action.
func (s drawnCluster) faultActions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){"": s.checkInvariants}
	for i, a := range s.orderedFaultActions() {
		actions[fmt.Sprintf("%02d %s", i, a.name)] = a.run
	}
	return actions
}

// orderedFaultActions returns the actions in a fixed order: a seed produces the same events as long
// as the number and the order of the actions stay the same. An action that is listed several times
// is drawn more often.
func (s drawnCluster) orderedFaultActions() []faultAction {
	controllers, workers := controllerFaults{s}, workerFaults{s}
	services, users := serviceFaults{s}, userActions{s}
	return []faultAction{
		{"repeat a submission", users.repeatSubmission},
		{"isolate a controller", controllers.isolateController},
		{"partition the zones", controllers.partitionZones},
		{"stop all controllers", controllers.stopAllControllers},
		{"change the boot time", services.changeBootTime},
		{"cancel", users.cancelJob},
		{"cloud outage", services.toggleCloudOutage},
		{"deliver copies of heartbeats", workers.deliverHeartbeatCopies},
		{"stop a controller", controllers.stopController},
		{"partition a worker", workers.partitionWorker},
		{"store unreachable", services.makeStoreUnreachable},
		{"workers unreachable", controllers.makeWorkersUnreachable},
		{"lose inbound messages", workers.loseInbound},
		{"deliver delayed messages", workers.deliverDelayedMessages},
		{"cancel at a task's end", users.cancelAtTaskEnd},
		{"lower the limits", services.lowerLimitsWhenUpgraded},
		{"no capacity", services.toggleCapacity},
		{"submit a gang", users.submitDrawnGang},
		{"submit a gang", users.submitDrawnGang},
		{"cancel during a store outage", services.cancelDuringStoreOutage},
		{"hang a worker", workers.hangWorker},
		{"hang many workers", workers.hangManyWorkers},
		{"terminate a machine", workers.terminateMachine},
		{"terminate many machines", workers.terminateManyMachines},
		{"deliver delayed transactions", services.deliverDelayedTransactions},
		{"only one controller acts", controllers.runOneController},
		{"query everywhere", users.queryDrawnJobEverywhere},
		{"transaction fault", services.failNextTransaction},
		{"cloud request fault", services.failNextCloudRequest},
		{"lose outbound messages", workers.loseOutbound},
		{"submit invalid jobs", users.submitInvalidJobs},
		{"store outage", services.toggleStoreOutage},
		{"poll", users.pollJob},
		{"spot notice", workers.sendSpotNotice},
		{"store refuses a controller", services.refuseController},
		{"heartbeat", workers.sendDrawnHeartbeat},
		{"restart a controller", controllers.restartController},
		{"rounds", s.runFewRounds},
		{"rounds", s.runFewRounds},
		{"rounds", s.runFewRounds},
		{"rounds", s.runFewRounds},
		{"rounds", s.runFewRounds},
		{"many rounds", s.runManyRounds},
		{"pause before a commit", controllers.pauseBeforeCommit},
		{"start a controller", controllers.startStoppedController},
		{"step a controller", controllers.stepDrawnController},
		{"submit", users.submitDrawnJob},
		{"submit", users.submitDrawnJob},
		{"refuse peers", controllers.togglePeers},
		{"upgrade a controller", controllers.upgradeController},
		{"advance the clock", s.advanceClock},
		{"partition a zone", controllers.partitionDrawnZone},
		{"deliver copies of responses", workers.deliverDrawnResponseCopies},
		{"deliver copies of commands", workers.deliverDrawnCommandCopies},
		{"deliver other copies", services.deliverOtherCopies},
	}
}

// checkInvariants checks that no rule is violated, and that the derived state of controllers is
// correct.
func (s drawnCluster) checkInvariants(t *rapid.T) {
	s.checkViolations(t)
	s.checkDerivedState(t)
}

// drawNode draws a controller.
func (s drawnCluster) drawNode(t *rapid.T) int {
	return rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
}

// drawWorker draws a worker, and skips the action if there is none.
func (s drawnCluster) drawWorker(t *rapid.T) *simulator.Worker {
	names := s.environment.Cloud.HostNames()
	if len(names) == 0 {
		t.Skip("no machine")
	}
	return s.environment.Cloud.WorkersByHost[rapid.SampledFrom(names).Draw(t, "host")]
}

// drawJobID draws the ID of a submitted job, and skips the action if there is none.
func (s drawnCluster) drawJobID(t *rapid.T) string {
	if len(s.jobIDs) == 0 {
		t.Skip("no job")
	}
	return rapid.SampledFrom(s.jobIDs).Draw(t, "job")
}

// drawTenths draws a duration; from and to are its bounds in tenths of a second.
func drawTenths(t *rapid.T, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, "tenths")) * 100 * time.Millisecond
}

// runDrawnRounds runs a drawn number of rounds.
func (s drawnCluster) runDrawnRounds(t *rapid.T, from, to int) {
	for range rapid.IntRange(from, to).Draw(t, "rounds") {
		s.runRound()
	}
}

// runFewRounds runs between 1 and 8 rounds.
func (s drawnCluster) runFewRounds(t *rapid.T) { s.runDrawnRounds(t, 1, 8) }

// runManyRounds runs long enough for machines to boot and tasks to end.
func (s drawnCluster) runManyRounds(t *rapid.T) { s.runDrawnRounds(t, 8, 40) }

// advanceClock advances the time without a step of any controller or worker.
func (s drawnCluster) advanceClock(t *rapid.T) { s.environment.Advance(drawTenths(t, 1, 60)) }
