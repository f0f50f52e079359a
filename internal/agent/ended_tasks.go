package agent

import (
	"maps"
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// EndedTask is a committed placement whose attempt is over.
type EndedTask struct {
	Task    *statecache.PlacedTask
	Attempt EndedAttempt
}

// IsCompleted reports whether a placed task has completed, though that need not be
// committed yet: its room is free, and its end is recorded with others to save
// changes.
func (r *Registry) IsCompleted(host, key string, task *statecache.PlacedTask) bool {
	agent := r.agents[host]
	if agent == nil {
		return false
	}
	end, found := agent.EndedAttempts[key]
	return found && end.Done && end.Attempt == task.Placement.Attempt
}

// RecordAttemptEnd notes that the attempt of the placement with the key is over.
func (r *Registry) RecordAttemptEnd(host string, agent *Agent, key string, end EndedAttempt) {
	agent.EndedAttempts[key] = end
	r.cache.InvalidateLoad(host)
}

// EndedTasks looks over the machines of the shards that this node leads and collects the attempts
// that are over, by task range. Where a worker's lease has expired, all are.
func (r *Registry) EndedTasks(now time.Time) map[schema.RangeID][]EndedTask {
	ended := map[schema.RangeID][]EndedTask{}
	for host, machine := range r.cache.Machines {
		leadership := r.leadership.InForce(machine.Shard)
		if leadership == nil || r.cache.Capacities[machine.Shard].Record == nil {
			continue
		}
		agent, placed := r.Ensure(host, leadership), r.cache.Placements[host]
		dropObsolete(agent, placed)
		expired := r.updateLease(host, agent, len(placed), now)
		if len(agent.EndedAttempts) == 0 && !expired {
			continue
		}
		for key, task := range placed {
			end, found := agent.EndedAttempts[key]
			if !found && expired {
				end, found = EndedAttempt{Attempt: task.Placement.Attempt, EndedAt: now}, true
				r.RecordAttemptEnd(host, agent, key, end)
			}
			if found && r.cache.Jobs[task.UID] != nil {
				id := schema.RangeID{UID: task.UID, Index: task.RangeIndex}
				ended[id] = append(ended[id], EndedTask{Task: task, Attempt: end})
			}
		}
	}
	return ended
}

// updateLease judges whether a worker's lease has surely expired, and logs when it first has.
func (r *Registry) updateLease(host string, agent *Agent, tasks int, now time.Time) (expired bool) {
	expired, newly := agent.UpdateLease(now, r.node.Settings.WorkerLeaseBound())
	if newly && tasks > 0 {
		r.node.Log.Info("worker lease expired", logkey.Host(host), logkey.Tasks(tasks), logkey.Terminated(agent.Terminated))
	}
	return expired
}

// dropObsolete drops what an agent has of attempts that are no longer committed for its machine.
// Entries of first runs and launches do no harm, for a later attempt has another number: they are
// dropped when there are more than tasks.
func dropObsolete(agent *Agent, placed map[string]*statecache.PlacedTask) {
	if len(agent.FirstRuns) > len(placed) {
		maps.DeleteFunc(agent.FirstRuns, func(key string, _ FirstRun) bool { return placed[key] == nil })
	}
	if len(agent.PendingLaunches) > len(placed) {
		maps.DeleteFunc(agent.PendingLaunches, func(key string, _ PendingLaunch) bool { return placed[key] == nil })
	}
	maps.DeleteFunc(agent.EndedAttempts, func(key string, end EndedAttempt) bool { // their end is committed
		return placed[key] == nil || placed[key].Placement.Attempt != end.Attempt
	})
}
