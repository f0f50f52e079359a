package controller

import "pgregory.net/rapid"

// workerFaults are what happens to workers and their machines.
type workerFaults struct{ drawnCluster }

// sendDrawnHeartbeat has a worker send a heartbeat, with a fault.
func (s workerFaults) sendDrawnHeartbeat(t *rapid.T) {
	s.sendHeartbeat(s.drawWorker(t), heartbeatFault(rapid.IntRange(0, 3).Draw(t, "fault")))
}

// partitionWorker partitions a worker from all else, or ends that.
func (s workerFaults) partitionWorker(t *rapid.T) {
	x := s.drawWorker(t)
	x.Partitioned = !x.Partitioned
}

// loseInbound loses what is sent to a worker, or ends that.
func (s workerFaults) loseInbound(t *rapid.T) {
	x := s.drawWorker(t)
	x.InboundLost = !x.InboundLost
}

// loseOutbound loses what a worker sends, or ends that.
func (s workerFaults) loseOutbound(t *rapid.T) {
	x := s.drawWorker(t)
	x.OutboundLost = !x.OutboundLost
}

// hangWorker hangs a worker, or lets it go on.
func (s workerFaults) hangWorker(t *rapid.T) {
	x := s.drawWorker(t)
	x.Hung = !x.Hung
}

// hangManyWorkers hangs two workers of three, or lets all go on, within their leases and past
// them.
func (s workerFaults) hangManyWorkers(t *rapid.T) {
	hung := rapid.Bool().Draw(t, "hung")
	for i, h := range s.environment.Cloud.HostNames() {
		s.environment.Cloud.WorkersByHost[h].Hung = hung && i%3 > 0
	}
}

// terminateMachine terminates a machine without notice.
func (s workerFaults) terminateMachine(t *rapid.T) {
	s.environment.Cloud.Terminate(s.drawWorker(t).Host)
}

// terminateManyMachines terminates every other machine without notice.
func (s workerFaults) terminateManyMachines(_ *rapid.T) {
	for i, h := range s.environment.Cloud.HostNames() {
		if i%2 == 0 {
			s.environment.Cloud.Terminate(h)
		}
	}
}

// noticeSpotInterruption announces the end of a spot machine.
func (s workerFaults) noticeSpotInterruption(t *rapid.T) {
	x, left := s.drawWorker(t), 4.0
	if x.Spot {
		x.SpotNoticeS = &left
	}
}

// deliverHeartbeatCopies has heartbeats of some time ago arrive once more.
func (s workerFaults) deliverHeartbeatCopies(t *rapid.T) {
	if len(s.heartbeatCopies) == 0 {
		t.Skip("none")
	}
	for range rapid.IntRange(1, 8).Draw(t, "copies") {
		c := rapid.SampledFrom(s.heartbeatCopies).Draw(t, "copy")
		if rapid.Bool().Draw(t, "everywhere") {
			s.deliverCopies([][]byte{c.body})
		} else {
			s.deliverHeartbeat(c.to, c.body)
		}
	}
	if rapid.Bool().Draw(t, "newer") {
		s.heartbeatCopies = nil
	}
}

// deliverDelayedMessages delivers the heartbeats and the commands that partitions delay.
func (s workerFaults) deliverDelayedMessages(_ *rapid.T) {
	delayed := s.delayedHeartbeats
	s.delayedHeartbeats = nil
	for _, deliver := range delayed {
		deliver()
	}
	s.deliverDelayedCommands()
}
