package agent

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/logkey"
)

// HeartbeatTimeout is how long a worker waits for an answer (PROTOCOL).
const HeartbeatTimeout = 4 * time.Second

// MayAnswerOlderTerm reports whether a worker that has not seen this term yet is to be answered,
// and counts the answer.
func (r *Registry) MayAnswerOlderTerm(agent *Agent, now time.Time) bool {
	return agent.MayAnswerOlderTerm(now, r.node.Settings.WorkerLeaseBound(), r.node.Settings.HeartbeatInterval())
}

// AcceptCommandAnswer takes in the heartbeat that a worker answered direct commands of a term with.
func (r *Registry) AcceptCommandAnswer(host string, term uint64, heartbeat *api.Heartbeat) {
	if agent := r.agents[host]; agent != nil && agent.Term == term && heartbeat.Host == host {
		r.AcceptHeartbeat(host, agent, heartbeat)
	}
}

// AcceptHeartbeat takes in a heartbeat and wakes decisions that rest on what is new in it. It
// reports whether the heartbeat can be believed.
func (r *Registry) AcceptHeartbeat(host string, agent *Agent, heartbeat *api.Heartbeat) bool {
	now := r.node.Now()
	before, wasUnresponsive := agent.Heartbeat, agent.Unresponsive()
	if !agent.Accept(heartbeat, now) {
		return false
	}
	r.leadership.Contact().RecordContact(now)
	agent.LastSeen = now
	if agent.Unresponsive() && !wasUnresponsive {
		r.node.Log.Info("worker unresponsive", logkey.Host(host),
			logkey.Why("its lease expired although it was answered: no tasks until it obeys a command"))
	}
	if wasUnresponsive != agent.Unresponsive() || tellsNews(before, heartbeat) {
		r.wake.Notify()
	}
	return true
}

// tellsNews reports whether a heartbeat tells what the one before, or none, did not.
func tellsNews(before, heartbeat *api.Heartbeat) bool {
	return before == nil ||
		before.AgentEpoch != heartbeat.AgentEpoch ||
		(before.SpotNoticeS == nil) != (heartbeat.SpotNoticeS == nil) ||
		!slices.Equal(before.Tasks, heartbeat.Tasks)
}
