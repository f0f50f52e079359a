package autoscaler

import (
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/cloud"
)

// ScaleIn is what a round of scaling in decided.
type ScaleIn struct {
	Return []string               // machines to be returned to the cloud, by name
	Fences []*agent.DirectCommand // to machines whose workers have not heard of this leader
}

// missesUntilTerminated is from how many of the cloud's lists in a row a machine has to be
// missing until it counts as terminated.
const missesUntilTerminated = 2

// ScaleIn returns the machines of own shards that are to be returned. On the way it fences
// those that have not heard of this leader, and reviews which are to be cordoned.
func (a *Autoscaler) ScaleIn(now time.Time) ScaleIn {
	var decided ScaleIn
	if !a.leadership.MayAct(now) {
		return decided
	}
	var review *ScaleInReview // nil: it may wait
	if a.isLookDue(a.reviewedAt, now) {
		a.reviewedAt = now
		review = a.NewReview(now)
	}
	for host, machine := range a.cache.Machines {
		led := a.leadership.InForce(machine.Shard)
		record := a.cache.Capacities[machine.Shard].Record
		if led == nil || record == nil {
			continue
		}
		worker := a.agents.Ensure(host, led)
		if worker.Terminated {
			continue
		}
		// One that boots hears nothing and hangs the connection; all are fenced
		// once when the shard is acquired, for the list is late.
		if !worker.Fenced() && !a.agents.Listing().IsStarting(host) {
			if command := a.commands.PrepareFence(host); command != nil {
				decided.Fences = append(decided.Fences, command)
			}
		}
		if review != nil {
			review.Evaluate(host, machine, worker)
		}
		_, offered := record.Free[host]
		if a.isToReturn(host, worker, offered, now) {
			decided.Return = append(decided.Return, host)
		}
	}
	slices.Sort(decided.Return)
	decided.Return = decided.Return[:min(len(decided.Return), cloud.MaxMachinesPerReturn)]
	return decided
}

// isToReturn reports whether a machine is to be returned: a cordoned one that holds no task and
// that no peer can place on, or one that the cloud's lists show as terminated, which the return
// proves.
func (a *Autoscaler) isToReturn(host string, worker *agent.Agent, offered bool, now time.Time) bool {
	silent := now.Sub(worker.LastSeen) > 2*a.node.Settings.HeartbeatInterval()
	if worker.MissingFromLists >= missesUntilTerminated && silent {
		return true
	}
	return worker.Cordoned && !offered && len(a.cache.Placements[host]) == 0
}
