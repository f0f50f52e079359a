package reconcile

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/respond"
	"violetturn/internal/shard"
	"violetturn/internal/transport"
)

// AnswerHeartbeat answers a heartbeat that was read.
func (rec *Reconciler) AnswerHeartbeat(r *api.Heartbeat, now time.Time) transport.Response {
	if !rec.cache.Loaded {
		return respond.Busy
	}
	m := rec.cache.Machines[r.Host]
	if m == nil {
		// Only one that the cloud lists: a copy of a heartbeat may come long after
		// its machine is gone, and nobody else remembers that it was there.
		if rec.agents.ListedByCloud[r.Host] {
			rec.agents.NoteUnregistered(r.Host, shard.Machine{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Addr: r.Addr})
		}
		return respond.Busy
	}
	o := rec.leadership.InForce(m.Shard)
	if o == nil || !rec.leadership.MayAnswerHeartbeats(now) {
		return rec.leadership.Redirect(m.Shard)
	}
	s := rec.agents.Of(r.Host, o)
	if s.IsStale(r, now, agent.HeartbeatTimeout) {
		return respond.Busy // nobody waits for it, and it says nothing about now
	}
	if shard.TokenTerm(r.Token) > o.Term {
		// It has seen a token above ours, so it drops what we say. When the term
		// record knows it, somebody else has taken the shard.
		if shard.TokenTerm(r.Token) <= rec.cache.Term {
			o.RequestNewTerm()
		}
		return respond.Misdirected("")
	}
	if m.Addr != r.Addr && r.Addr != "" {
		m.Addr = r.Addr // the record may have been made before the address was known
	}
	s.LastHeartbeat = agent.HeartbeatNumber{AgentEpoch: r.AgentEpoch, Sequence: r.Sequence}
	commands := []api.Command{}
	if shard.TokenTerm(r.Token) < o.Term {
		if !rec.agents.MayIntroduceTerm(s, now) {
			return respond.Busy
		}
	} else if rec.agents.AcceptHeartbeat(r.Host, s, r) {
		commands = rec.CommandsFor(r, s, now)
	}
	s.LastAnswered = now
	return respond.JSON(200, api.CommandBatch{Token: s.Token(), Commands: commands})
}
