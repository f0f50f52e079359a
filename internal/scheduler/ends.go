package scheduler

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/capacity"
	"violetturn/internal/config"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// quotaPressure is the share of a team's limit from which on the room of completed tasks is
// released at once.
const quotaPressure = 3. / 4

// ShouldCommitEnds reports whether the ends of tasks of a task range are to be committed now. The end
// of a task that completed while others of its task range run on can wait for theirs, unless its
// machine is to be returned or its team is near its limit. The end of a task that has to run
// again can't wait, nor can the last one of a task range.
func (s *Scheduler) ShouldCommitEnds(id schema.RangeID, ends []agent.EndedTask, now time.Time) bool {
	job := s.cache.Jobs[id.UID]
	taskRange := job.Ranges[id.Index].Record
	if taskRange == nil {
		return false
	}
	// Leaders see only the ends on their own machines: each commits those when all
	// of its own have ended and no task waits for room any more. The last to do so
	// completes the task range.
	finished := taskRange.DoneCount()+len(taskRange.Placements) >= job.Record.RangeLen(id.Index)
	if (job.Record.Cancelled || finished) && len(ends) == s.countOnOwnMachines(job, id.Index) {
		return true
	}
	if job.Record.Cancelled {
		return now.Sub(ends[0].Attempt.EndedAt) > s.node.Settings.WorkerLease()
	}
	for _, ended := range ends {
		if s.endCannotWait(ended, now) {
			return true
		}
	}
	team, _ := s.node.Settings.Team(job.Record.Spec.Team)
	return team.Limited() && s.nearsLimit(team)
}

// countOnOwnMachines counts the tasks of a task range that are placed on machines of own shards.
func (s *Scheduler) countOnOwnMachines(job *statecache.Job, index int) int {
	own := 0
	for _, placement := range job.Ranges[index].Record.Placements {
		if m := s.cache.Machines[placement.Host]; m != nil && s.leadership.Leads(m.Shard) {
			own++
		}
	}
	return own
}

// endCannotWait reports whether an end is to be committed without waiting for others: the task
// has to run again, its machine is about to leave, or it has waited for two leases.
func (s *Scheduler) endCannotWait(ended agent.EndedTask, now time.Time) bool {
	worker := s.agents.Agent(ended.Task.Placement.Host)
	if !ended.Attempt.Done || worker == nil || worker.Cordoned || worker.Terminated {
		return true
	}
	return now.Sub(ended.Attempt.EndedAt) > 2*s.node.Settings.WorkerLease()
}

// nearsLimit reports whether the shards hold so much of a team's limit that its tasks may soon
// wait for it.
func (s *Scheduler) nearsLimit(team config.Team) bool {
	shares := s.accounts.QuotaShares(team.Name, "")
	limit, all := capacity.QuotaLimitOf(team), shares.Held.Add(shares.Others)
	return limit.CPUs > 0 && all.CPUs > limit.CPUs*quotaPressure || limit.GPUs > 0 && all.GPUs > limit.GPUs*quotaPressure
}
