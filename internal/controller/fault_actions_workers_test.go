package controller

import "pgregory.net/rapid"

// workerFaults contains the actions that affect workers and their machines.
type workerFaults struct{ drawnCluster }

// sendDrawnHeartbeat makes a worker send a heartbeat with a drawn fault.
func (s workerFaults) sendDrawnHeartbeat(t *rapid.T) {
	s.sendHeartbeat(s.drawWorker(t), heartbeatFault(rapid.IntRange(0, 3).Draw(t, "fault")))
}

// partitionWorker partitions a worker from everything else, or ends that partition.
func (s workerFaults) partitionWorker(t *rapid.T) {
	worker := s.drawWorker(t)
	worker.Partitioned = !worker.Partitioned
}

// loseInbound starts or stops dropping the messages to a worker.
func (s workerFaults) loseInbound(t *rapid.T) {
	worker := s.drawWorker(t)
	worker.InboundLost = !worker.InboundLost
}

// loseOutbound starts or stops dropping the messages from a worker.
func (s workerFaults) loseOutbound(t *rapid.T) {
	worker := s.drawWorker(t)
	worker.OutboundLost = !worker.OutboundLost
}

// hangWorker makes a worker hang, or continue.
func (s workerFaults) hangWorker(t *rapid.T) {
	worker := s.drawWorker(t)
	worker.Hung = !worker.Hung
}

// hangManyWorkers makes two of three workers hang, or all workers continue. They can hang for less
// or for more than their leases.
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

// sendSpotNotice notifies a worker that its machine will be interrupted, if that is a spot machine.
func (s workerFaults) sendSpotNotice(t *rapid.T) {
	worker, noticeS := s.drawWorker(t), 4.0
	if worker.Spot {
		worker.SpotNoticeS = &noticeS
	}
}

// deliverHeartbeatCopies delivers copies of earlier heartbeats.
func (s workerFaults) deliverHeartbeatCopies(t *rapid.T) {
	if len(s.heartbeatCopies) == 0 {
		t.Skip("no copies")
	}
	for range rapid.IntRange(1, 8).Draw(t, "copies") {
		heartbeat := rapid.SampledFrom(s.heartbeatCopies).Draw(t, "copy")
		if rapid.Bool().Draw(t, "everywhere") {
			s.deliverCopies([][]byte{heartbeat.body})
		} else {
			s.deliverHeartbeat(heartbeat.to, heartbeat.body)
		}
	}
	if rapid.Bool().Draw(t, "newer") {
		s.heartbeatCopies = nil
	}
}

// deliverDelayedMessages delivers the heartbeats and the commands that partitions have delayed.
func (s workerFaults) deliverDelayedMessages(_ *rapid.T) {
	delayed := s.delayedHeartbeats
	s.delayedHeartbeats = nil
	for _, deliver := range delayed {
		deliver()
	}
	s.deliverDelayedCommands()
}

// deliverDrawnResponseCopies delivers copies of responses that workers have received.
func (s workerFaults) deliverDrawnResponseCopies(t *rapid.T) {
	if len(s.responseCopies) == 0 {
		t.Skip("no copies")
	}
	for range rapid.IntRange(1, 8).Draw(t, "copies") {
		response := rapid.SampledFrom(s.responseCopies).Draw(t, "copy")
		response.deliver()
	}
	if rapid.Bool().Draw(t, "newer") {
		s.responseCopies = nil
	}
}

// deliverDrawnCommandCopies delivers copies of the direct commands of a controller.
func (s workerFaults) deliverDrawnCommandCopies(t *rapid.T) {
	commands := s.nodes[s.drawNode(t)].commands
	if len(commands.Copies) == 0 {
		t.Skip("no copies")
	}
	rapid.SampledFrom(commands.Copies).Draw(t, "copy")()
	if rapid.Bool().Draw(t, "newer") {
		commands.Copies = nil
	}
}
