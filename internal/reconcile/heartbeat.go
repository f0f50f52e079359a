package reconcile

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/leadership"
	"violetturn/internal/respond"
	"violetturn/internal/shard"
	"violetturn/internal/transport"
)

const statusOK = 200

// AnswerHeartbeat answers a heartbeat that was read. It redirects a worker whose shard another
// controller leads, and answers that it is busy where no answer could be relied on.
func (r *Reconciler) AnswerHeartbeat(heartbeat *api.Heartbeat, now time.Time) transport.Response {
	if !r.cache.Loaded {
		return respond.Busy
	}
	machine := r.cache.Machines[heartbeat.Host]
	if machine == nil {
		r.noteUnregistered(heartbeat)
		return respond.Busy
	}
	leadership := r.leadership.InForce(machine.Shard)
	if leadership == nil || !r.leadership.MayAnswerHeartbeats(now) {
		return r.leadership.Redirect(machine.Shard)
	}
	worker := r.agents.Ensure(heartbeat.Host, leadership)
	if worker.IsStale(heartbeat, now, agent.HeartbeatTimeout) {
		return respond.Busy // nobody waits for it, and it says nothing about now
	}
	if shard.TokenTerm(heartbeat.Token) > leadership.Term {
		r.noteHigherTerm(heartbeat, leadership)
		return respond.Misdirected("")
	}
	if machine.Addr != heartbeat.Addr && heartbeat.Addr != "" {
		r.cache.SetAddress(heartbeat.Host, heartbeat.Addr) // the record may have been made before it was known
	}
	worker.LastHeartbeat = agent.HeartbeatNumber{AgentEpoch: heartbeat.AgentEpoch, Sequence: heartbeat.Sequence}
	commands := []api.Command{}
	if shard.TokenTerm(heartbeat.Token) < leadership.Term {
		if !r.agents.MayAnswerOlderTerm(worker, now) {
			return respond.Busy
		}
	} else if r.agents.AcceptHeartbeat(heartbeat.Host, worker, heartbeat) {
		commands = r.CommandsFor(heartbeat, worker, now)
	}
	worker.LastAnswered = now
	return respond.JSON(statusOK, api.CommandBatch{Token: worker.Token(), Commands: commands})
}

// noteUnregistered notes the machine of a heartbeat that has no record, if the cloud lists it: a
// copy of a heartbeat may come long after its machine was terminated, and nobody else remembers
// that it was there.
func (r *Reconciler) noteUnregistered(heartbeat *api.Heartbeat) {
	if !r.agents.Listing().HasOperational(heartbeat.Host) {
		return
	}
	r.agents.Unregistered().Add(heartbeat.Host, shard.Machine{
		MachineType: heartbeat.MachineType, Zone: heartbeat.Zone, Spot: heartbeat.Spot, Addr: heartbeat.Addr,
	})
}

// noteHigherTerm notes that a worker has seen a token above ours, so that it drops what we say. If
// the term's record knows that term, another has acquired the shard since or tried to, and the
// shard needs a new term.
func (r *Reconciler) noteHigherTerm(heartbeat *api.Heartbeat, leadership *leadership.Leadership) {
	if shard.TokenTerm(heartbeat.Token) <= r.cache.HighestTerm {
		leadership.RequestNewTerm()
	}
}
