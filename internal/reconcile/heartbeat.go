package reconcile

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/leadership"
	"violetturn/internal/logkey"
	"violetturn/internal/respond"
	"violetturn/internal/shard"
	"violetturn/internal/transport"
)

const statusOK = 200

// AnswerHeartbeat answers a parsed heartbeat. It redirects the worker if this controller may not
// answer for the machine's shard, and answers busy if this controller cannot give a response that
// the worker may rely on.
func (r *Reconciler) AnswerHeartbeat(heartbeat *api.Heartbeat, now time.Time) transport.Response {
	if !r.cache.Loaded {
		return respond.Busy
	}
	machine := r.cache.Machines[heartbeat.Host]
	if machine == nil {
		r.queueRegistration(heartbeat)
		return respond.Busy
	}
	leadership := r.leadership.InForce(machine.Shard)
	if leadership == nil || !r.leadership.MayAnswerHeartbeats(now) {
		return r.leadership.Redirect(machine.Shard)
	}
	worker := r.agents.Ensure(heartbeat.Host, leadership)
	if worker.IsStale(heartbeat, now, agent.HeartbeatTimeout) {
		return respond.Busy // the sender no longer waits for a response, and the heartbeat does not show its present state
	}
	if shard.TokenTerm(heartbeat.Token) > leadership.Term {
		r.handleHigherTerm(heartbeat, leadership)
		return respond.Misdirected("")
	}
	if machine.Addr != heartbeat.Addr && heartbeat.Addr != "" {
		r.cache.SetAddress(heartbeat.Host, heartbeat.Addr) // the record may have been made before the address was known
	}
	worker.LastHeartbeatNumber = agent.HeartbeatNumber{AgentEpoch: heartbeat.AgentEpoch, Sequence: heartbeat.Sequence}
	commands := []api.Command{}
	if shard.TokenTerm(heartbeat.Token) < leadership.Term {
		if !r.agents.AllowOlderTermResponse(worker, now) {
			return respond.Busy
		}
	} else if r.agents.AcceptHeartbeat(heartbeat.Host, worker, heartbeat) {
		commands = r.CommandsFor(heartbeat, worker, now)
	}
	worker.LastAnswered = now
	response := respond.JSON(statusOK, api.CommandBatch{Token: worker.Token(), Commands: commands})
	if response.Status == respond.StatusInternalError {
		r.node.Log.Error("commands can't be encoded", logkey.Host(heartbeat.Host))
	}
	return response
}

// queueRegistration queues the registration of a machine without a record if the cloud lists it.
// Otherwise the heartbeat may be a copy that arrives long after the machine was terminated, when
// its record is gone.
func (r *Reconciler) queueRegistration(heartbeat *api.Heartbeat) {
	if !r.agents.Listing().HasOperational(heartbeat.Host) {
		return
	}
	r.agents.Unregistered().Add(heartbeat.Host, shard.Machine{
		MachineType: heartbeat.MachineType, Zone: heartbeat.Zone, Spot: heartbeat.Spot, Addr: heartbeat.Addr,
	})
}

// handleHigherTerm handles a heartbeat with a token of a higher term than that of the leadership,
// which means that the worker ignores responses under this leadership. If the recorded term is at
// least as high as the token's, a peer has acquired the shard since or tried to, and
// the shard is to be acquired again under a new term.
func (r *Reconciler) handleHigherTerm(heartbeat *api.Heartbeat, leadership *leadership.Leadership) {
	if shard.TokenTerm(heartbeat.Token) <= r.cache.HighestTerm() {
		leadership.RequestNewTerm()
	}
}
