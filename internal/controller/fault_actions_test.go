package controller

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/simulator"
)

// faultAction is something that a generated test lets happen.
type faultAction struct {
	name string
	run  func(t *rapid.T)
}

// faultActions returns the actions from which a generated test draws, with the check that
// follows each of them under the empty name.
func (s *testCluster) faultActions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){"": s.checkInvariants}
	for i, a := range s.orderedFaultActions() {
		actions[fmt.Sprintf("%02d %s", i, a.name)] = a.run
	}
	return actions
}

// orderedFaultActions returns the actions in the order in which they are drawn from: a seed
// gives the same events as long as their number and their order stay the same. What stands
// there several times is drawn more often.
func (s *testCluster) orderedFaultActions() []faultAction {
	return []faultAction{
		{"repeat a submission", s.repeatSubmission},
		{"isolate a controller", s.isolateController},
		{"partition the zones", s.partitionZones},
		{"stop all controllers", s.stopAllControllers},
		{"change the boot time", s.changeBootTime},
		{"cancel", s.cancelJob},
		{"cloud outage", s.toggleCloudOutage},
		{"deliver copies of heartbeats", s.deliverHeartbeatCopies},
		{"stop a controller", s.stopController},
		{"partition a worker", s.partitionWorker},
		{"store unreachable", s.makeStoreUnreachable},
		{"workers unreachable", s.makeWorkersUnreachable},
		{"lose inbound messages", s.loseInbound},
		{"deliver delayed messages", s.deliverDelayedMessages},
		{"cancel at a task's end", s.cancelAtTaskEnd},
		{"lower the limits", s.lowerLimitsWhenUpgraded},
		{"no capacity", s.toggleCapacity},
		{"submit a gang", s.submitDrawnGang},
		{"submit a gang", s.submitDrawnGang},
		{"cancel during a store outage", s.cancelDuringStoreOutage},
		{"hang a worker", s.hangWorker},
		{"hang many workers", s.hangManyWorkers},
		{"terminate a machine", s.terminateMachine},
		{"terminate many machines", s.terminateManyMachines},
		{"deliver delayed transactions", s.deliverDelayedTransactions},
		{"only one controller acts", s.runOneController},
		{"query everywhere", s.queryDrawnJobEverywhere},
		{"transaction fault", s.failNextTransaction},
		{"cloud request fault", s.failNextCloudRequest},
		{"lose outbound messages", s.loseOutbound},
		{"submit invalid jobs", s.submitInvalidJobs},
		{"store outage", s.toggleStoreOutage},
		{"poll", s.pollJob},
		{"spot notice", s.noticeSpotInterruption},
		{"store refuses a controller", s.refuseController},
		{"heartbeat", s.sendDrawnHeartbeat},
		{"restart a controller", s.restartController},
		{"rounds", s.runFewRounds},
		{"rounds", s.runFewRounds},
		{"rounds", s.runFewRounds},
		{"rounds", s.runFewRounds},
		{"rounds", s.runFewRounds},
		{"many rounds", s.runManyRounds},
		{"pause before a commit", s.pauseBeforeCommit},
		{"start a controller", s.startStoppedController},
		{"step a controller", s.stepDrawnController},
		{"submit", s.submitDrawnJob},
		{"submit", s.submitDrawnJob},
		{"refuse peers", s.togglePeers},
		{"upgrade a controller", s.upgradeController},
		{"advance the clock", s.advanceClock},
		{"partition a zone", s.partitionDrawnZone},
	}
}

// checkInvariants checks the rules, and the state that controllers derive.
func (s *testCluster) checkInvariants(t *rapid.T) {
	s.checkViolations(t)
	s.checkDerivedState(t)
}

// drawNode draws a controller.
func (s *testCluster) drawNode(t *rapid.T) int {
	return rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
}

// drawWorker draws a machine.
func (s *testCluster) drawWorker(t *rapid.T) *simulator.Worker {
	names := s.world.Cloud.HostNames()
	if len(names) == 0 {
		t.Skip("no machine")
	}
	return s.world.Cloud.Hosts[rapid.SampledFrom(names).Draw(t, "host")]
}

// drawTenths draws a time in tenths of a second.
func drawTenths(t *rapid.T, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, "tenths")) * 100 * time.Millisecond
}

// runDrawnRounds runs a drawn number of rounds.
func (s *testCluster) runDrawnRounds(t *rapid.T, from, to int) {
	for range rapid.IntRange(from, to).Draw(t, "rounds") {
		s.runRound()
	}
}

// runFewRounds runs a few rounds.
func (s *testCluster) runFewRounds(t *rapid.T) { s.runDrawnRounds(t, 1, 8) }

// runManyRounds runs long enough for machines to boot and tasks to end.
func (s *testCluster) runManyRounds(t *rapid.T) { s.runDrawnRounds(t, 8, 40) }

// advanceClock lets time pass in which nobody does anything.
func (s *testCluster) advanceClock(t *rapid.T) { s.world.Advance(drawTenths(t, 1, 60)) }
