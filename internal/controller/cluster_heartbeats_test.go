package controller

import (
	"net/http"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/simulator"
)

// heartbeatFault is a fault in the delivery of a heartbeat or of its response.
type heartbeatFault int

// Faults of heartbeats.
const (
	heartbeatServed  heartbeatFault = iota // no fault
	heartbeatDelayed                       // if a partition blocks the heartbeat, the test delivers it later
	responseLost                           // the worker does not receive the response
	responseDelayed                        // the worker receives the response when its next heartbeat is due
)

// String returns the name of the fault.
func (f heartbeatFault) String() string {
	return [...]string{"served", "delayed", "response lost", "response delayed"}[f]
}

const (
	maxHeartbeatCopies = 64              // copies that the cluster keeps for later delivery
	maxResponseCopies  = 64              // copies of responses with commands that the cluster keeps
	responseTimeout    = 4 * time.Second // after this time a worker ignores a response
)

// heartbeatCopy is a heartbeat that arrived, with the controller that it was sent to.
type heartbeatCopy struct {
	to   int
	body []byte
}

// heartbeatResponse is the response to a heartbeat.
type heartbeatResponse struct {
	status   int
	commands api.CommandBatch
	leader   string // the controller that the worker should report to
	body     []byte
}

// sentHeartbeat describes a heartbeat that was sent: its sender, its receiver, its time, and the
// sender's agent epoch at that time.
type sentHeartbeat struct {
	worker     *simulator.Worker
	to         int
	sentAt     time.Time
	agentEpoch uint64
}

// pendingResponse is a response that its worker has not received yet.
type pendingResponse struct {
	sent     sentHeartbeat
	commands api.CommandBatch
}

// sendHeartbeat makes a worker send a heartbeat to the controller that it reports to, or receive
// the response that it is waiting for.
func (s *clusterNodes) sendHeartbeat(worker *simulator.Worker, fault heartbeatFault) {
	if !worker.Booted() || worker.Hung || s.receivePendingResponse(worker) {
		return
	}
	body := s.encodeHeartbeat(worker)
	if body == nil {
		return
	}
	to := worker.NodeIndex
	partitioned := s.workerPartitioned(worker, to)
	if partitioned && fault == heartbeatDelayed {
		s.delayedHeartbeats = append(s.delayedHeartbeats, func() { s.deliverHeartbeat(to, body) })
	}
	if partitioned || !s.nodes[to].serves() {
		s.tryNextNode(worker, to)
		return
	}
	s.keepHeartbeatCopy(heartbeatCopy{to, body})
	sent := sentHeartbeat{worker, to, s.environment.Now, worker.AgentEpoch}
	response := s.deliverHeartbeat(to, body)
	accepted := worker.ReceiveHeartbeatResponse(response.body)
	switch {
	case !accepted || fault == responseLost || worker.InboundLost:
		s.tryNextNode(worker, to)
	case response.status == http.StatusOK && fault == responseDelayed:
		s.pendingResponses[worker.Host] = &pendingResponse{sent, response.commands}
	default:
		s.handleHeartbeatResponse(sent, response)
	}
}

// encodeHeartbeat returns the worker's next heartbeat, or nil if it is longer than the worker may send.
func (s *clusterNodes) encodeHeartbeat(worker *simulator.Worker) []byte {
	body := worker.EncodeHeartbeat()
	if len(body) > api.MaxMessageBytes {
		s.unsentHeartbeats++
		return nil
	}
	return body
}

// receivePendingResponse delivers the response that a worker is waiting for, unless it arrives
// after responseTimeout. It reports whether the worker was waiting for one.
func (s *clusterNodes) receivePendingResponse(worker *simulator.Worker) bool {
	pending := s.pendingResponses[worker.Host]
	if pending == nil {
		return false
	}
	delete(s.pendingResponses, worker.Host)
	if s.environment.Now.Sub(pending.sent.sentAt) < responseTimeout {
		pending.deliver()
	}
	return true
}

// workerPartitioned reports whether heartbeats of a worker can't reach a controller.
func (s *clusterNodes) workerPartitioned(worker *simulator.Worker, node int) bool {
	return worker.Partitioned || worker.OutboundLost || s.nodes[node].commands.Partitioned || s.partitioned(s.zoneOf(node), worker.Zone)
}

// tryNextNode makes a worker that got no usable response from a controller send its next heartbeat
// to the next controller.
func (s *clusterNodes) tryNextNode(worker *simulator.Worker, node int) {
	worker.NodeIndex = (node + 1) % len(s.nodes)
}

// handleHeartbeatResponse makes a worker process a response: it carries out the commands, follows a
// redirect, or tries the next controller.
func (s *clusterNodes) handleHeartbeatResponse(sent sentHeartbeat, response heartbeatResponse) {
	switch {
	case response.status == http.StatusOK:
		sent.worker.HandleResponse(response.commands, sent.sentAt, sent.agentEpoch)
		s.keepResponseCopy(pendingResponse{sent, response.commands})
	case response.status == http.StatusMisdirectedRequest && response.leader != "" && response.leader != s.nodes[sent.to].name:
		sent.worker.NodeIndex = slices.IndexFunc(s.nodes, func(n *testNode) bool { return n.name == response.leader })
	default:
		s.tryNextNode(sent.worker, sent.to)
	}
}

// keepHeartbeatCopy keeps a copy of a heartbeat that arrived.
func (s *clusterNodes) keepHeartbeatCopy(heartbeat heartbeatCopy) {
	if len(s.heartbeatCopies) < maxHeartbeatCopies {
		s.heartbeatCopies = append(s.heartbeatCopies, heartbeat)
	}
}

// keepResponseCopy keeps a copy of a response that a worker has received, if it contains commands.
func (s *clusterNodes) keepResponseCopy(response pendingResponse) {
	if len(response.commands.Commands) > 0 && len(s.responseCopies) < maxResponseCopies {
		s.responseCopies = append(s.responseCopies, response)
	}
}

// deliver delivers the response to its worker, maybe once more.
func (r *pendingResponse) deliver() {
	r.sent.worker.HandleResponse(r.commands, r.sent.sentAt, r.sent.agentEpoch)
}

// deliverLaunchCopies delivers copies of the responses that launched tasks once more.
func (s *clusterNodes) deliverLaunchCopies() {
	for _, response := range s.responseCopies {
		launches := func(command api.Command) bool { return command.Action == api.Launch }
		if slices.ContainsFunc(response.commands.Commands, launches) {
			response.deliver()
		}
	}
}

// deliverHeartbeat makes a controller handle a heartbeat and returns its response, which is empty
// if the controller is stopped or paused.
func (s *clusterNodes) deliverHeartbeat(to int, body []byte) heartbeatResponse {
	n := s.nodes[to]
	if !n.serves() {
		return heartbeatResponse{}
	}
	r := n.controller.frontend.HandleHeartbeat(&httpwire.Message{Method: "POST", Target: "/checkin", Body: body})
	commands, leader, err := simulator.ParseHeartbeatResponse(r.Body)
	if err != nil {
		panic(err)
	}
	return heartbeatResponse{r.Status, commands, leader, r.Body}
}

// deliverCopies delivers copies of heartbeats to every controller.
func (s *clusterNodes) deliverCopies(copies [][]byte) {
	for _, body := range copies {
		for i := range s.nodes {
			s.deliverHeartbeat(i, body)
		}
	}
}

// heartbeats returns the current heartbeat of each worker.
func (s *clusterNodes) heartbeats() [][]byte {
	var out [][]byte
	for _, h := range s.environment.Cloud.HostNames() {
		out = append(out, s.environment.Cloud.WorkersByHost[h].EncodeHeartbeat())
	}
	return out
}

// deliverCommandCopies delivers copies of the direct commands that workers have received once more.
func (s *clusterNodes) deliverCommandCopies() {
	for _, n := range s.nodes {
		for _, deliver := range n.commands.Copies {
			deliver()
		}
	}
}

// deliverDelayedCommands delivers the commands that partitions have delayed.
func (s *clusterNodes) deliverDelayedCommands() {
	for _, n := range s.nodes {
		delayed := n.commands.DelayedDeliveries
		n.commands.DelayedDeliveries = nil
		for _, deliver := range delayed {
			deliver()
		}
	}
}
