package agent

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/logkey"
)

// HeartbeatTimeout is how long a worker waits for the response to a heartbeat, as the protocol
// document (PROTOCOL) specifies.
const HeartbeatTimeout = 4 * time.Second

// AllowOlderTermResponse reports whether to answer a heartbeat that shows an older term than this
// leader's, and counts the response. Agent.AllowOlderTermResponse describes when it is not answered.
func (r *Registry) AllowOlderTermResponse(agent *Agent, now time.Time) bool {
	return agent.AllowOlderTermResponse(now, r.node.Settings.WorkerLeaseBound(), r.node.Settings.HeartbeatInterval())
}

// AcceptCommandResponse processes the heartbeat in a worker's response to direct commands that were
// sent under the given term. It ignores the heartbeat if the term has changed since, or if it is
// that of another host.
func (r *Registry) AcceptCommandResponse(host string, term uint64, heartbeat *api.Heartbeat) {
	if agent := r.agents[host]; agent != nil && agent.Term == term && heartbeat.Host == host {
		r.AcceptHeartbeat(host, agent, heartbeat)
	}
}

// AcceptHeartbeat processes a heartbeat that was received from a worker, and wakes the decision loop
// if the heartbeat changes anything that decisions depend on. It reports whether the heartbeat was
// accepted (see Agent.Accept).
func (r *Registry) AcceptHeartbeat(host string, agent *Agent, heartbeat *api.Heartbeat) bool {
	now := r.node.Now()
	previous, wasUnresponsive := agent.Heartbeat, agent.Unresponsive()
	if !agent.Accept(heartbeat, now) {
		return false
	}
	r.leadership.Contact().RecordContact(now)
	agent.LastSeen = now
	if agent.Unresponsive() && !wasUnresponsive {
		r.node.Log.Info("worker unresponsive", logkey.Host(host),
			logkey.Reason("its lease expired although its heartbeats were answered: no tasks until it shows a raised token"))
	}
	if wasUnresponsive != agent.Unresponsive() || heartbeatChanged(previous, heartbeat) {
		r.wake.Notify()
	}
	return true
}

// heartbeatChanged reports whether a heartbeat differs from the previous one in a way that
// affects decisions, or is the first one.
func heartbeatChanged(previous, heartbeat *api.Heartbeat) bool {
	return previous == nil ||
		previous.AgentEpoch != heartbeat.AgentEpoch ||
		(previous.SpotNoticeS == nil) != (heartbeat.SpotNoticeS == nil) ||
		!slices.Equal(previous.Tasks, heartbeat.Tasks)
}
