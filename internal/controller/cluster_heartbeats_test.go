package controller

import (
	"net/http"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/simulator"
)

// heartbeatFault is what happens to a heartbeat.
type heartbeatFault int

// Faults of heartbeats.
const (
	heartbeatServed  heartbeatFault = iota // none
	heartbeatDelayed                       // if a partition stops it, it arrives when the test delivers it
	responseLost                           // the worker does not hear the response
	responseDelayed                        // it hears it when its next heartbeat is due
)

// String returns the name of the fault.
func (f heartbeatFault) String() string {
	return [...]string{"served", "delayed", "response lost", "response delayed"}[f]
}

const (
	maxHeartbeatCopies = 64              // that are kept
	responseTimeout    = 4 * time.Second // after which a worker no longer waits for a response
)

// heartbeatCopy is a heartbeat that arrived, and the node that it was for.
type heartbeatCopy struct {
	to   int
	body []byte
}

// heartbeatResponse is the response to a heartbeat.
type heartbeatResponse struct {
	status   int
	commands api.CommandBatch
	leader   string // that the worker should report to
}

// sentHeartbeat says when, by whom and to whom a heartbeat was sent.
type sentHeartbeat struct {
	worker     *simulator.Worker
	to         int
	at         time.Time
	agentEpoch uint64
}

// pendingResponse is a response that a worker still waits for.
type pendingResponse struct {
	sent     sentHeartbeat
	commands api.CommandBatch
}

// sendHeartbeat lets a worker send a heartbeat to the node that it reports to, or hear the
// response that it waits for.
func (s *clusterNodes) sendHeartbeat(x *simulator.Worker, f heartbeatFault) {
	if !x.Booted() || x.Hung {
		return
	}
	if s.hearPendingResponse(x) {
		return
	}
	body := api.MustMarshal(x.Heartbeat())
	to := x.Node
	partitioned := s.workerPartitioned(x, to)
	if partitioned && f == heartbeatDelayed {
		s.delayedHeartbeats = append(s.delayedHeartbeats, func() { s.deliverHeartbeat(to, body) })
	}
	if partitioned || !s.nodes[to].serves() {
		s.tryNextNode(x, to)
		return
	}
	if len(s.heartbeatCopies) < maxHeartbeatCopies {
		s.heartbeatCopies = append(s.heartbeatCopies, heartbeatCopy{to, body})
	}
	sent := sentHeartbeat{x, to, s.environment.Now, x.AgentEpoch}
	response := s.deliverHeartbeat(to, body)
	switch {
	case f == responseLost || x.InboundLost:
		s.tryNextNode(x, to)
	case response.status == http.StatusOK && f == responseDelayed:
		s.pendingResponses[x.Host] = &pendingResponse{sent, response.commands}
	default:
		s.handleHeartbeatResponse(sent, response)
	}
}

// hearPendingResponse lets a worker hear the response that it waits for, unless that comes too
// late, and reports whether it waited for one.
func (s *clusterNodes) hearPendingResponse(x *simulator.Worker) bool {
	p := s.pendingResponses[x.Host]
	if p == nil {
		return false
	}
	delete(s.pendingResponses, x.Host)
	if s.environment.Now.Sub(p.sent.at) < responseTimeout {
		x.HandleResponse(p.commands, p.sent.at, p.sent.agentEpoch)
	}
	return true
}

// workerPartitioned reports whether a heartbeat of a worker can't reach a node.
func (s *clusterNodes) workerPartitioned(x *simulator.Worker, node int) bool {
	return x.Partitioned || x.OutboundLost || s.nodes[node].commands.Partitioned || s.partitioned(s.zoneOf(node), x.Zone)
}

// tryNextNode has a worker report to the node after one that did not answer it.
func (s *clusterNodes) tryNextNode(x *simulator.Worker, node int) { x.Node = (node + 1) % len(s.nodes) }

// handleHeartbeatResponse lets a worker take in a response that it heard.
func (s *clusterNodes) handleHeartbeatResponse(sent sentHeartbeat, r heartbeatResponse) {
	switch {
	case r.status == http.StatusOK:
		sent.worker.HandleResponse(r.commands, sent.at, sent.agentEpoch)
	case r.status == http.StatusMisdirectedRequest && r.leader != "" && r.leader != s.nodes[sent.to].name:
		sent.worker.Node = slices.IndexFunc(s.nodes, func(n *testNode) bool { return n.name == r.leader })
	default:
		s.tryNextNode(sent.worker, sent.to)
	}
}

// deliverHeartbeat has a node handle a heartbeat. The response of one that does not serve is
// empty.
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
	return heartbeatResponse{r.Status, commands, leader}
}

// deliverCopies has every node handle copies of heartbeats.
func (s *clusterNodes) deliverCopies(copies [][]byte) {
	for _, body := range copies {
		for i := range s.nodes {
			s.deliverHeartbeat(i, body)
		}
	}
}

// heartbeats returns a heartbeat of each machine, as it was sent now.
func (s *clusterNodes) heartbeats() [][]byte {
	var out [][]byte
	for _, h := range s.environment.Cloud.HostNames() {
		out = append(out, api.MustMarshal(s.environment.Cloud.WorkersByHost[h].Heartbeat()))
	}
	return out
}

// deliverDelayedCommands delivers the commands that partitions delay.
func (s *clusterNodes) deliverDelayedCommands() {
	for _, n := range s.nodes {
		delayed := n.commands.DelayedDeliveries
		n.commands.DelayedDeliveries = nil
		for _, deliver := range delayed {
			deliver()
		}
	}
}
