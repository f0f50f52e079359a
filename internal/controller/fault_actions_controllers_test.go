package controller

import (
	"slices"

	"pgregory.net/rapid"
)

// controllerFaults contains the actions that affect controllers and the network between them.
type controllerFaults struct{ drawnCluster }

// stepDrawnController runs one step of a controller.
func (s controllerFaults) stepDrawnController(t *rapid.T) { s.stepNode(s.drawNode(t)) }

// stopController stops a controller without a shutdown.
func (s controllerFaults) stopController(t *rapid.T) { s.nodes[s.drawNode(t)].running = false }

// restartController restarts a controller, which loses its state in memory.
func (s controllerFaults) restartController(t *rapid.T) { s.startNode(s.drawNode(t)) }

// startStoppedController starts a controller if it is stopped.
func (s controllerFaults) startStoppedController(t *rapid.T) {
	if i := s.drawNode(t); !s.nodes[i].running {
		s.startNode(i)
	}
}

// upgradeController stops a controller of the version in production. It restarts with the new
// version, either at once or later.
func (s controllerFaults) upgradeController(t *rapid.T) {
	n := s.nodes[s.drawNode(t)]
	if !n.runsProductionVersion {
		t.Skip("already upgraded")
	}
	n.runsProductionVersion = false
	if n.running = false; rapid.Bool().Draw(t, "at once") {
		s.startNode(slices.Index(s.nodes, n))
	}
}

// stopAllControllers stops all controllers for about the duration of a worker lease, and then
// starts one of them.
func (s controllerFaults) stopAllControllers(t *rapid.T) {
	for _, n := range s.nodes {
		n.running = false
	}
	s.environment.Advance(s.environment.WorkerLease + drawTenths(t, -20, 20))
	s.startNode(s.drawNode(t))
	s.runDrawnRounds(t, 0, 8)
}

// runOneController advances the time while only one controller acts. No worker sends a heartbeat.
func (s controllerFaults) runOneController(t *rapid.T) {
	i := s.drawNode(t)
	for range rapid.IntRange(10, 40).Draw(t, "rounds") {
		s.stepNode(i)
		s.environment.Advance(roundInterval)
	}
}

// isolateController partitions a controller from the state service and its peers, but not from its
// workers and users, or ends that partition.
func (s controllerFaults) isolateController(t *rapid.T) {
	i := s.drawNode(t)
	s.isolated[i] = !s.isolated[i]
	s.environment.Store.UnreachableControllers[s.nodes[i].name] = s.isolated[i]
}

// makeWorkersUnreachable partitions a controller from its workers only, or ends that partition.
func (s controllerFaults) makeWorkersUnreachable(t *rapid.T) {
	commands := s.nodes[s.drawNode(t)].commands
	commands.Partitioned = !commands.Partitioned
}

// partitionDrawnZone partitions a zone, or ends the partition of a zone.
func (s controllerFaults) partitionDrawnZone(t *rapid.T) {
	s.partitionZone(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "zone"))
}

// partitionZones partitions the zones from each other, or ends that partition.
func (s controllerFaults) partitionZones(_ *rapid.T) { s.zonesPartitioned = !s.zonesPartitioned }

// togglePeers makes controllers refuse connections from each other, or accept them again.
func (s controllerFaults) togglePeers(_ *rapid.T) { s.peersRefused = !s.peersRefused }

// pauseBeforeCommit pauses a controller before its next transaction. The controller then sends the
// transaction, which is based on its state from before the pause.
func (s controllerFaults) pauseBeforeCommit(t *rapid.T) {
	n, rounds := s.nodes[s.drawNode(t)], rapid.IntRange(1, 30).Draw(t, "rounds")
	n.storeClient.BeforeCommit = func() {
		c := n.controller
		n.paused = true
		for range rounds {
			s.runRound()
		}
		if n.controller == c {
			n.paused = false
		}
	}
}
