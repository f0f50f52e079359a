package scheduler

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// newestOnOvercommittedHost returns the newest task placed on a peer's machine whose placements
// exceed its capacity. Some of the placed tasks have completed and others use their capacity, but
// the ends are not committed yet, and only the shard's leader has received them. Only the newest task
// is certain to be on the machine still. It returns nil if all tasks placed on the machine are
// possible victims.
func (p *preemption) newestOnOvercommittedHost(host *sched.Host) *statecache.PlacedTask {
	s := p.scheduler
	if s.leadership.Leads(host.Shard) {
		return nil
	}
	used := host.Free
	var newest *statecache.PlacedTask
	newestPlacedS := int64(0)
	for _, task := range s.cache.Placements[host.Name] {
		job := s.cache.Jobs[task.UID]
		if job == nil {
			continue
		}
		used = used.Add(statecache.ResourcesOf(&job.Record.Spec))
		placedS := job.Record.AcceptedMS/1000 + task.Placement.PlacedS
		if newest == nil || placedS > newestPlacedS {
			newest, newestPlacedS = task, placedS
		}
	}
	if host.Capacity.Fits(used) {
		return nil
	}
	return newest
}

// preemptionCost estimates the work lost by stopping a task on a machine, in seconds. It is 0 if
// the task was lost with its zone and has not restarted.
func (p *preemption) preemptionCost(host string, job *statecache.Job, task *statecache.PlacedTask) float64 {
	s := p.scheduler
	worker := s.agents.Agent(host)
	if worker == nil || worker.Heartbeat == nil || !s.zones.IsRestartDelayed(host, task, job, p.now) {
		return lostWorkSeconds(job, task.Placement, p.now)
	}
	name := task.TaskName(job)
	running := slices.ContainsFunc(worker.Heartbeat.Tasks, func(state api.TaskState) bool {
		return state.Task == name && state.Attempt == task.Placement.Attempt
	})
	if running {
		return lostWorkSeconds(job, task.Placement, p.now)
	}
	return 0
}

// restartSeconds is the cost of a restart in addition to the lost work.
const restartSeconds = 1

// lostWorkSeconds estimates the work lost by stopping a task, in seconds.
func lostWorkSeconds(j *statecache.Job, placement *job.Placement, now time.Time) float64 {
	spec := &j.Record.Spec
	runSeconds := max(float64(now.UnixMilli()-j.Record.AcceptedMS)/1000-float64(placement.PlacedS), 0)
	hasCheckpoints := spec.CheckpointIntervalS > 0
	if hasCheckpoints {
		// The work saved before the task stops is not lost, so that the stop costs at most the
		// duration of the save. The small share of the run time makes the task that has run for
		// less time the cheaper victim, all else equal.
		runSeconds = min(runSeconds, spec.SaveDurationS) + runSeconds/1000
	}
	switch {
	case j.IsGang(): // all tasks of a gang stop and restart together
		return float64(spec.Tasks) * (runSeconds + spec.SaveDurationS + restartSeconds)
	case hasCheckpoints:
		return runSeconds
	}
	return runSeconds + restartSeconds
}
