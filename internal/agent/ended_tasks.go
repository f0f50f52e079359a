package agent

import (
	"maps"
	"time"

	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// EndedTask is an attempt that is over.
type EndedTask struct {
	Task *statecache.PlacedTask
	End  EndedAttempt
}

// IsCompleted reports whether a placed task has completed, though that need not be
// committed yet: its room is free, and its end is recorded with others to save
// changes.
func (reg *Registry) IsCompleted(host, id string, pl *statecache.PlacedTask) bool {
	s := reg.ByHost[host]
	if s == nil {
		return false
	}
	r, ok := s.EndedAttempts[id]
	return ok && r.Done && r.Attempt == pl.Placement.Attempt
}

// NoteEnd notes that an attempt is over.
func (reg *Registry) NoteEnd(host string, s *Agent, id string, r EndedAttempt) {
	s.EndedAttempts[id] = r
	reg.cache.InvalidateLoad(host)
}

// EndedTasks looks over the machines of own shards and collects the attempts that
// are over, by task range.
func (reg *Registry) EndedTasks(now time.Time) map[schema.RangeID][]EndedTask {
	chunks := map[schema.RangeID][]EndedTask{}
	bound := reg.node.Settings.WorkerLeaseBound()
	for host, m := range reg.cache.Machines {
		o := reg.leadership.InForce(m.Shard)
		if o == nil || reg.cache.Capacities[m.Shard].Record == nil {
			continue
		}
		s := reg.Of(host, o)
		on := reg.cache.Placements[host]
		// Entries of tasks that are no longer there do no harm, for a later
		// attempt has another number: they go when there are too many.
		if len(s.FirstRuns) > len(on) {
			maps.DeleteFunc(s.FirstRuns, func(id string, _ FirstRun) bool { return on[id] == nil })
		}
		if len(s.PendingLaunches) > len(on) {
			maps.DeleteFunc(s.PendingLaunches, func(id string, _ PendingLaunch) bool { return on[id] == nil })
		}
		for id, r := range s.EndedAttempts {
			if pl := on[id]; pl == nil || pl.Placement.Attempt != r.Attempt {
				delete(s.EndedAttempts, id) // committed
			}
		}
		dead, newly := s.UpdateLease(now, bound)
		if newly && len(on) > 0 {
			reg.node.Log.Info("worker lease expired", "host", host, "tasks", len(on), "terminated", s.Terminated)
		}
		if len(s.EndedAttempts) == 0 && !dead {
			continue
		}
		for id, pl := range on {
			if _, ok := s.EndedAttempts[id]; !ok && dead {
				reg.NoteEnd(host, s, id, EndedAttempt{Attempt: pl.Placement.Attempt, EndedAt: now})
			}
			if r, ok := s.EndedAttempts[id]; ok && reg.cache.Jobs[pl.UID] != nil {
				k := schema.RangeID{UID: pl.UID, Index: pl.RangeIndex}
				chunks[k] = append(chunks[k], EndedTask{pl, r})
			}
		}
	}
	return chunks
}
