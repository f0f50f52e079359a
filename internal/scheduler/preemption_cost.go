package scheduler

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// newestOverplaced returns the task that was last placed on a peer's machine where more is
// placed than there is room for: some have completed and others have taken their
// room, but the ends are not committed yet and only the leader knows which. The
// newest is the one that is surely there. It returns nil where all are.
func (p *preemption) newestOverplaced(host *sched.Host) *statecache.PlacedTask {
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

// lostWork estimates the work that stopping a task on a machine loses, in seconds: none if it
// was lost with its zone and has not started again.
func (p *preemption) lostWork(host string, job *statecache.Job, task *statecache.PlacedTask) float64 {
	s := p.scheduler
	worker := s.agents.Agent(host)
	if worker == nil || worker.Heartbeat == nil || !s.zones.IsRestartDelayed(host, task, job, p.now) {
		return lostSeconds(job, task.Placement, p.now)
	}
	name := task.TaskName(job)
	running := slices.ContainsFunc(worker.Heartbeat.Tasks, func(state api.TaskState) bool {
		return state.Task == name && state.Attempt == task.Placement.Attempt
	})
	if running {
		return lostSeconds(job, task.Placement, p.now)
	}
	return 0
}

// restartSeconds is what starting a task anew costs besides the work that is lost.
const restartSeconds = 1

// lostSeconds estimates the work that stopping a task loses, in seconds.
func lostSeconds(j *statecache.Job, placement *job.Placement, now time.Time) float64 {
	spec := &j.Record.Spec
	run := max(float64(now.UnixMilli()-j.Record.AcceptedMS)/1000-float64(placement.PlacedS), 0)
	checkpoints := spec.CheckpointS > 0
	if checkpoints {
		// What it saves before it leaves is not lost. The longer it ran the more another
		// one is preferred, all else equal.
		run = min(run, spec.SaveS) + run/1000
	}
	switch {
	case j.IsGang(): // all of its tasks stop with it, and start anew together
		return float64(spec.Tasks) * (run + spec.SaveS + restartSeconds)
	case checkpoints:
		return run
	}
	return run + restartSeconds
}
