package autoscaler

import (
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/cloud"
)

// ScaleIn is the result of one scale-in decision.
type ScaleIn struct {
	HostsToReturn []string               // hosts of the machines to return to the cloud
	Fences        []*agent.DirectCommand // commands that send this leader's fencing token to workers that have not shown its term yet
}

// missesUntilTerminated is the number of consecutive lists of the cloud that lack a machine after
// which the machine counts as terminated.
const missesUntilTerminated = 2

// ScaleIn decides which machines to return to the cloud, among those of the shards that this
// controller leads. It also prepares fence commands for workers that have not shown this leader's
// term and, if the periodic review is due, cordons machines that are to be returned once they are
// empty.
func (a *Autoscaler) ScaleIn(now time.Time) ScaleIn {
	var decision ScaleIn
	if !a.leadership.MayAct(now) {
		return decision
	}
	var review *ScaleInReview // nil: the review is not due
	if a.isCheckDue(a.reviewedAt, now) {
		a.reviewedAt = now
		review = a.NewReview(now)
	}
	for host, machine := range a.cache.Machines {
		shardLeadership := a.leadership.InForce(machine.Shard)
		record := a.cache.Capacities[machine.Shard].Record
		if shardLeadership == nil || record == nil {
			continue
		}
		worker := a.agents.Ensure(host, shardLeadership)
		if worker.Terminated {
			continue
		}
		// A machine that the cloud lists as starting does not respond, and a command to it blocks
		// its connection, so it is not fenced here. Because the list may be outdated, every worker
		// is fenced once when the shard is acquired.
		if !worker.Fenced() && !a.agents.Listing().IsStarting(host) {
			if command := a.commands.PrepareFence(host); command != nil {
				decision.Fences = append(decision.Fences, command)
			}
		}
		if review != nil {
			review.Evaluate(host, machine, worker)
		}
		_, offeredToPeers := record.Free[host]
		if a.isToReturn(host, worker, offeredToPeers, now) {
			decision.HostsToReturn = append(decision.HostsToReturn, host)
		}
	}
	slices.Sort(decision.HostsToReturn)
	decision.HostsToReturn = decision.HostsToReturn[:min(len(decision.HostsToReturn), cloud.MaxMachinesPerReturn)]
	return decision
}

// isToReturn reports whether a machine is to be returned to the cloud. That is so if it is cordoned,
// holds no task and is not offered to peers, so that none can place a task on it. It is also so if
// the cloud's lists lack it and its worker sends no heartbeats; in this case a successful return
// proves that the machine is terminated.
func (a *Autoscaler) isToReturn(host string, worker *agent.Agent, offeredToPeers bool, now time.Time) bool {
	silent := now.Sub(worker.LastSeen) > 2*a.node.Settings.HeartbeatInterval()
	if worker.MissingFromLists >= missesUntilTerminated && silent {
		return true
	}
	return worker.Cordoned && !offeredToPeers && len(a.cache.Placements[host]) == 0
}
