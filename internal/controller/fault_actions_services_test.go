package controller

import (
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/simulator"
)

// serviceFaults are what happens to the state service and the cloud.
type serviceFaults struct{ drawnCluster }

// toggleStoreOutage begins or ends an outage of the state service.
func (s serviceFaults) toggleStoreOutage(_ *rapid.T) {
	s.environment.Store.Down = !s.environment.Store.Down
}

// toggleCloudOutage begins or ends an outage of the cloud.
func (s serviceFaults) toggleCloudOutage(_ *rapid.T) {
	s.environment.Cloud.Down = !s.environment.Cloud.Down
}

// toggleCapacity has the cloud have no capacity, or some again.
func (s serviceFaults) toggleCapacity(_ *rapid.T) {
	s.environment.Cloud.NoCapacity = !s.environment.Cloud.NoCapacity
}

// refuseController has the state service refuse a controller alone, or serve it again.
func (s serviceFaults) refuseController(t *rapid.T) {
	n := s.nodes[s.drawNode(t)].name
	s.environment.Store.RefusedNodes[n] = !s.environment.Store.RefusedNodes[n]
}

// makeStoreUnreachable partitions a controller from the state service, not from its workers,
// or ends that.
func (s serviceFaults) makeStoreUnreachable(t *rapid.T) {
	n := s.nodes[s.drawNode(t)].name
	s.environment.Store.UnreachableNodes[n] = !s.environment.Store.UnreachableNodes[n]
}

// failNextTransaction sets a fault for the next transaction of a controller.
func (s serviceFaults) failNextTransaction(t *rapid.T) {
	n := s.nodes[s.drawNode(t)].name
	s.environment.Store.NextFault[n] = simulator.Fault(rapid.IntRange(1, 3).Draw(t, "fault"))
}

// failNextCloudRequest sets a fault for the next rental or return of a controller.
func (s serviceFaults) failNextCloudRequest(t *rapid.T) {
	n := s.nodes[s.drawNode(t)].name
	s.environment.Cloud.NextFault[n] = simulator.Fault(rapid.IntRange(1, 2).Draw(t, "fault"))
}

// deliverDelayedTransactions has delayed transactions arrive.
func (s serviceFaults) deliverDelayedTransactions(_ *rapid.T) { s.environment.Store.DeliverDelayed() }

// changeBootTime has machines be up within a second, or later.
func (s serviceFaults) changeBootTime(t *rapid.T) {
	s.environment.MachineType.BootTime = time.Duration(rapid.IntRange(0, 12).Draw(t, "boot")) * time.Second
}

// lowerLimitsWhenUpgraded lowers the limits of the state service once all controllers are of
// the new version.
func (s serviceFaults) lowerLimitsWhenUpgraded(t *rapid.T) {
	if s.limitsLowered || !s.upgraded() {
		t.Skip("not yet")
	}
	s.limitsLowered = true
	s.lowerStateLimits()
}

// upgraded reports whether all controllers run, and are and know each other to be of the new
// version.
func (s serviceFaults) upgraded() bool {
	for _, n := range s.nodes {
		if n.inProduction || !n.running {
			return false
		}
	}
	return s.nodes[0].state().Schema.AllUpgraded()
}

// cancelDuringStoreOutage has the state service refuse one controller alone, another confirm
// a cancellation, and then the state service refuse all.
func (s serviceFaults) cancelDuringStoreOutage(t *rapid.T) {
	i, id := s.drawNode(t), s.drawJobID(t)
	s.environment.Store.RefusedNodes[s.nodes[i].name] = true
	s.stepNode(i)
	s.cancel((i+1)%len(s.nodes), id)
	s.environment.Store.Down = true
	s.runDrawnRounds(t, 1, 100)
}
