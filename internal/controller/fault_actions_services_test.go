package controller

import (
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/simulator"
)

// serviceFaults contains the actions that affect the state service and the cloud.
type serviceFaults struct{ drawnCluster }

// toggleStoreOutage begins or ends an outage of the state service.
func (s serviceFaults) toggleStoreOutage(_ *rapid.T) {
	s.environment.Store.Down = !s.environment.Store.Down
}

// toggleCloudOutage begins or ends an outage of the cloud.
func (s serviceFaults) toggleCloudOutage(_ *rapid.T) {
	s.environment.Cloud.Down = !s.environment.Cloud.Down
}

// toggleCapacity makes the cloud run out of capacity, or have capacity again.
func (s serviceFaults) toggleCapacity(_ *rapid.T) {
	s.environment.Cloud.NoCapacity = !s.environment.Cloud.NoCapacity
}

// refuseController makes the state service refuse the requests of one controller, or serve them
// again.
func (s serviceFaults) refuseController(t *rapid.T) {
	name := s.nodes[s.drawNode(t)].name
	s.environment.Store.RefusedControllers[name] = !s.environment.Store.RefusedControllers[name]
}

// makeStoreUnreachable partitions a controller from the state service but not from its workers, or
// ends that partition.
func (s serviceFaults) makeStoreUnreachable(t *rapid.T) {
	name := s.nodes[s.drawNode(t)].name
	s.environment.Store.UnreachableControllers[name] = !s.environment.Store.UnreachableControllers[name]
}

// failNextTransaction injects a fault into the next transaction of a controller.
func (s serviceFaults) failNextTransaction(t *rapid.T) {
	name := s.nodes[s.drawNode(t)].name
	s.environment.Store.NextFault[name] = simulator.Fault(rapid.IntRange(1, 3).Draw(t, "fault"))
}

// failNextCloudRequest injects a fault into the next rental or return request of a controller.
func (s serviceFaults) failNextCloudRequest(t *rapid.T) {
	name := s.nodes[s.drawNode(t)].name
	s.environment.Cloud.NextFault[name] = simulator.Fault(rapid.IntRange(1, 2).Draw(t, "fault"))
}

// deliverDelayedTransactions makes the state service carry out the delayed transactions.
func (s serviceFaults) deliverDelayedTransactions(_ *rapid.T) { s.environment.Store.DeliverDelayed() }

// changeBootTime draws the boot time of machines, from none to 12 seconds.
func (s serviceFaults) changeBootTime(t *rapid.T) {
	s.environment.MachineType.BootTime = time.Duration(rapid.IntRange(0, 12).Draw(t, "boot")) * time.Second
}

// lowerLimitsWhenUpgraded lowers the limits of the state service if all controllers run the new
// version.
func (s serviceFaults) lowerLimitsWhenUpgraded(t *rapid.T) {
	if s.limitsLowered || !s.upgraded() {
		t.Skip("limits already lowered, or not all controllers upgraded")
	}
	s.limitsLowered = true
	s.lowerStateLimits()
}

// upgraded reports whether all controllers are running the new version, and the first one has read
// from the records that all do.
func (s serviceFaults) upgraded() bool {
	for _, n := range s.nodes {
		if n.runsProductionVersion || !n.running {
			return false
		}
	}
	return s.nodes[0].state().Schema.AllUpgraded()
}

// cancelDuringStoreOutage makes the state service refuse one controller, then another controller
// cancel a job, and then the state service refuse all controllers.
func (s serviceFaults) cancelDuringStoreOutage(t *rapid.T) {
	i, id := s.drawNode(t), s.drawJobID(t)
	s.environment.Store.RefusedControllers[s.nodes[i].name] = true
	s.stepNode(i)
	s.cancel((i+1)%len(s.nodes), id)
	s.environment.Store.Down = true
	s.runDrawnRounds(t, 1, 100)
}

// deliverOtherCopies delivers copies of transactions, of rental requests or of requests to peers.
func (s serviceFaults) deliverOtherCopies(t *rapid.T) {
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		s.environment.Store.DeliverCopies()
	case 1:
		s.environment.Cloud.DeliverRentalCopies()
	default:
		s.deliverPeerCopies()
	}
}
