package scheduler

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/capacity"
	"violetturn/internal/config"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// quotaPressureShare is the share of a team's limit above which the ends of its completed tasks are
// committed at once, so that their quota is released.
const quotaPressureShare = 3. / 4

// ShouldCommitEnds reports whether the ends of tasks of a task range are to be committed now. The end
// of a completed task can wait for those of other tasks of its range, unless its machine is to be
// returned or its team is near its limit. The end of a task that has to run again cannot wait, nor
// can the last one of a task range.
func (s *Scheduler) ShouldCommitEnds(id schema.RangeID, ends []agent.EndedTask, now time.Time) bool {
	job := s.cache.Jobs[id.UID]
	taskRange := job.Ranges[id.Index].Record
	if taskRange == nil {
		return false
	}
	// A leader receives only the ends on its own machines. It commits them when all of its tasks
	// of the range have ended and no task of the range is pending. The last leader to do so
	// completes the task range.
	nonePending := taskRange.DoneCount()+len(taskRange.Placements) >= job.Record.RangeLen(id.Index)
	if (job.Record.Cancelled || nonePending) && len(ends) == s.countOnOwnMachines(job, id.Index) {
		return true
	}
	if job.Record.Cancelled {
		return now.Sub(ends[0].Attempt.EndedAt) > s.node.Settings.WorkerLease()
	}
	for _, ended := range ends {
		if s.mustCommitNow(ended, now) {
			return true
		}
	}
	team, _ := s.node.Settings.Team(job.Record.Spec.Team)
	return team.HasLimit() && s.isNearLimit(team)
}

// countOnOwnMachines counts the tasks of a task range that are placed on machines of shards that
// this controller leads.
func (s *Scheduler) countOnOwnMachines(job *statecache.Job, index int) int {
	count := 0
	for _, placement := range job.Ranges[index].Record.Placements {
		if machine := s.cache.Machines[placement.Host]; machine != nil && s.leadership.Leads(machine.Shard) {
			count++
		}
	}
	return count
}

// mustCommitNow reports whether an end is to be committed without waiting for others: the task has
// to run again, its machine is to be returned or is gone, or twice the duration of a worker's lease
// has passed since.
func (s *Scheduler) mustCommitNow(ended agent.EndedTask, now time.Time) bool {
	worker := s.agents.Agent(ended.Task.Placement.Host)
	if !ended.Attempt.Done || worker == nil || worker.Cordoned || worker.Terminated {
		return true
	}
	return now.Sub(ended.Attempt.EndedAt) > 2*s.node.Settings.WorkerLease()
}

// isNearLimit reports whether the shards hold so much of a team's limit that its tasks may soon
// wait for quota.
func (s *Scheduler) isNearLimit(team config.Team) bool {
	shares := s.accounting.QuotaShares(team.Name, "")
	limit, total := capacity.QuotaLimitOf(team), shares.Held.Add(shares.HeldByOthers)
	return limit.CPUs > 0 && total.CPUs > limit.CPUs*quotaPressureShare || limit.GPUs > 0 && total.GPUs > limit.GPUs*quotaPressureShare
}
