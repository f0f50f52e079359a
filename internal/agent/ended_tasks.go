package agent

import (
	"maps"
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// EndedTask is a committed placement whose attempt has ended.
type EndedTask struct {
	Task    *statecache.PlacedTask
	Attempt EndedAttempt
}

// IsCompleted reports whether a placed task has completed, even if its end is not committed yet.
// Its capacity is free already; its end is committed together with others to save writes.
func (r *Registry) IsCompleted(host, key string, task *statecache.PlacedTask) bool {
	agent := r.agents[host]
	if agent == nil {
		return false
	}
	end, found := agent.EndedAttempts[key]
	return found && end.Done && end.Attempt == task.Placement.Attempt
}

// RecordAttemptEnd records that the attempt of the placement with the given key has ended.
func (r *Registry) RecordAttemptEnd(host string, agent *Agent, key string, end EndedAttempt) {
	agent.EndedAttempts[key] = end
	r.cache.InvalidateLoad(host)
}

// EndedTasks collects the ended attempts on the machines of the shards that this controller leads,
// by task range. On a machine whose worker's lease has expired, all attempts have ended.
func (r *Registry) EndedTasks(now time.Time) map[schema.RangeID][]EndedTask {
	ended := map[schema.RangeID][]EndedTask{}
	for host, machine := range r.cache.Machines {
		leadership := r.leadership.InForce(machine.Shard)
		if leadership == nil || r.cache.Capacities[machine.Shard].Record == nil {
			continue
		}
		agent, placed := r.Ensure(host, leadership), r.cache.Placements[host]
		removeObsoleteAttempts(agent, placed)
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

// updateLease updates whether a worker's lease has certainly expired, and logs an expiry once if
// the machine has tasks.
func (r *Registry) updateLease(host string, agent *Agent, taskCount int, now time.Time) (expired bool) {
	expired, newlyExpired := agent.UpdateLease(now, r.node.Settings.WorkerLeaseBound())
	if newlyExpired && taskCount > 0 {
		r.node.Log.Info("worker lease expired", logkey.Host(host), logkey.Tasks(taskCount), logkey.Terminated(agent.Terminated))
	}
	return expired
}

// removeObsoleteAttempts removes an agent's entries of attempts that are no longer committed for
// its machine. Obsolete first runs and pending launches are harmless, since a later attempt has
// another number, so they are removed only once there are more entries than placed tasks.
func removeObsoleteAttempts(agent *Agent, placed map[string]*statecache.PlacedTask) {
	if len(agent.FirstRuns) > len(placed) {
		maps.DeleteFunc(agent.FirstRuns, func(key string, _ FirstRun) bool { return placed[key] == nil })
	}
	if len(agent.PendingLaunches) > len(placed) {
		maps.DeleteFunc(agent.PendingLaunches, func(key string, _ PendingLaunch) bool { return placed[key] == nil })
	}
	maps.DeleteFunc(agent.EndedAttempts, func(key string, end EndedAttempt) bool { // true if the end is committed
		return placed[key] == nil || placed[key].Placement.Attempt != end.Attempt
	})
}
