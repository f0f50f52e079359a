package controller

import (
	"slices"

	"pgregory.net/rapid"
)

// controllerFaults are what happens to controllers and between them.
type controllerFaults struct{ drawnCluster }

// stepDrawnController has a controller act once.
func (s controllerFaults) stepDrawnController(t *rapid.T) { s.stepNode(s.drawNode(t)) }

// stopController stops a controller without notice.
func (s controllerFaults) stopController(t *rapid.T) { s.nodes[s.drawNode(t)].running = false }

// restartController restarts a controller, which keeps nothing.
func (s controllerFaults) restartController(t *rapid.T) { s.startNode(s.drawNode(t)) }

// startStoppedController starts a controller if it is stopped.
func (s controllerFaults) startStoppedController(t *rapid.T) {
	if i := s.drawNode(t); !s.nodes[i].running {
		s.startNode(i)
	}
}

// upgradeController stops a controller of the version in production. It comes back as the
// new version, at once or later.
func (s controllerFaults) upgradeController(t *rapid.T) {
	n := s.nodes[s.drawNode(t)]
	if !n.inProduction {
		t.Skip("new already")
	}
	n.inProduction = false
	if n.running = false; rapid.Bool().Draw(t, "at once") {
		s.startNode(slices.Index(s.nodes, n))
	}
}

// stopAllControllers stops all for about as long as a lease, and starts one.
func (s controllerFaults) stopAllControllers(t *rapid.T) {
	for _, n := range s.nodes {
		n.running = false
	}
	s.environment.Advance(s.environment.WorkerLease + drawTenths(t, -20, 20))
	s.startNode(s.drawNode(t))
	s.runDrawnRounds(t, 0, 8)
}

// runOneController lets time pass in which one controller acts, and no worker.
func (s controllerFaults) runOneController(t *rapid.T) {
	i := s.drawNode(t)
	for range rapid.IntRange(10, 40).Draw(t, "rounds") {
		s.stepNode(i)
		s.environment.Advance(roundInterval)
	}
}

// isolateController partitions a controller from the state service and its peers, not from
// its workers and users, or ends that.
func (s controllerFaults) isolateController(t *rapid.T) {
	i := s.drawNode(t)
	s.isolated[i] = !s.isolated[i]
	s.environment.Store.UnreachableNodes[s.nodes[i].name] = s.isolated[i]
}

// makeWorkersUnreachable partitions a controller from its workers only, or ends that.
func (s controllerFaults) makeWorkersUnreachable(t *rapid.T) {
	commands := s.nodes[s.drawNode(t)].commands
	commands.Partitioned = !commands.Partitioned
}

// partitionDrawnZone partitions a zone, or ends that.
func (s controllerFaults) partitionDrawnZone(t *rapid.T) {
	s.partitionZone(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "zone"))
}

// partitionZones partitions the zones from each other, or ends that.
func (s controllerFaults) partitionZones(_ *rapid.T) { s.zonesPartitioned = !s.zonesPartitioned }

// togglePeers has connections between controllers be refused, or ends that.
func (s controllerFaults) togglePeers(_ *rapid.T) { s.peersRefused = !s.peersRefused }

// pauseBeforeCommit pauses a controller before its next transaction, which it then sends on
// what it believed before.
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
