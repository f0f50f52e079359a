package scheduler

import (
	"time"

	"violetturn/internal/capacity"
	"violetturn/internal/recovery"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// PlacementResult is a transaction that commits placements.
type PlacementResult struct {
	Transaction    *statecache.Transaction  // nil: there is nothing to commit now
	Remaining      []capacity.Placement     // those that it has no space for
	Placed         []PlacementLog           // to be logged once it is committed
	StopSeparately []*statecache.PlacedTask // tasks that have to leave for a placement that is more than a transaction takes
}

// placementOutcome is what became of a placement that was to be added to a transaction.
type placementOutcome int

const (
	placementAdded    placementOutcome = iota
	placementRefused                   // the plan was older than the state: planned anew
	placementTooLarge                  // alone it is more than a transaction takes
	transactionFull
)

// CanStop reports whether a task is still where it was to be stopped.
func (s *Scheduler) CanStop(job *statecache.Job, task *statecache.PlacedTask) bool {
	if job == nil || s.schema.TasksBlocked(job) {
		return false
	}
	placement := job.Ranges[task.RangeIndex].Record.PlacementOf(task.Index)
	return placement != nil && placement.Attempt == task.Placement.Attempt && !job.MustStop(placement)
}

// CountJobs counts the jobs that placements change.
func CountJobs(placements []capacity.Placement) int {
	seen := map[string]bool{}
	for _, placement := range placements {
		seen[placement.UID] = true
		for _, victim := range placement.Victims {
			seen[victim.UID] = true
		}
	}
	return len(seen)
}

// placementTransaction collects placements for one transaction.
type placementTransaction struct {
	scheduler  *Scheduler
	now        time.Time
	editor     *schema.Editor
	claims     *capacity.Claims
	admission  *recovery.Admission
	zonesByJob map[string]*zoneConstraint // worked out when first asked for
	placed     []PlacementLog
}

// PlacementTransaction commits as many placements as a transaction and the budget take. The
// plan may be older than the state, so each is looked at again. A placement that
// takes the room of others goes together with the marks that stop them: the leader's next
// response stops the ones and starts the other, instead of a round of commits and
// heartbeats for each.
func (s *Scheduler) PlacementTransaction(todo []capacity.Placement, budget int, now time.Time) PlacementResult {
	t := &placementTransaction{
		scheduler:  s,
		now:        now,
		editor:     s.schema.NewRecordEditor(),
		claims:     s.accounts.NewClaims(),
		admission:  s.zones.Admission(now),
		zonesByJob: map[string]*zoneConstraint{},
	}
	t.editor.MaxChanges = min(t.editor.MaxChanges, budget)
	var result PlacementResult
	for i := range todo {
		outcome := t.add(&todo[i])
		if outcome == placementTooLarge {
			result.StopSeparately = append(result.StopSeparately, todo[i].Victims...)
		}
		if outcome == transactionFull {
			result.Remaining = append(result.Remaining, todo[i:]...)
			break
		}
	}
	if len(t.placed) == 0 {
		return PlacementResult{StopSeparately: result.StopSeparately}
	}
	transaction := t.editor.Transaction()
	if t.editor.HasOversizedRecord {
		return PlacementResult{}
	}
	t.claims.Write(transaction)
	result.Transaction, result.Placed = transaction, t.placed
	return result
}

// add adds a placement and the stops of the tasks that leave for it, if all of that still holds
// and there is space.
func (t *placementTransaction) add(placement *capacity.Placement) placementOutcome {
	pending := t.claims.Check(*placement, t.now)
	if pending == nil || !t.zonesOf(pending.Job()).allows(placement.RangeIndex, placement.Host.Zone) {
		return placementRefused
	}
	job := pending.Job()
	changes := pending.Changes() + t.editor.RangeCost(job, placement.RangeIndex)
	if job.Record.Spec.Together && job.Record.Zone == "" {
		changes++
	}
	for _, victim := range placement.Victims {
		victimJob := t.scheduler.cache.Jobs[victim.UID]
		if !t.scheduler.CanStop(victimJob, victim) {
			return placementRefused // the room may be free by now
		}
		changes += t.editor.StopCost(victimJob, victim)
	}
	if t.editor.Changes == 0 && len(placement.Victims) > 0 && changes > t.scheduler.schema.TransactionLimits().TxnOps {
		return placementTooLarge
	}
	if changes > 0 && t.editor.IsFull(changes, t.claims.Changes()) {
		return transactionFull
	}
	pending.Apply()
	line := t.place(job, placement)
	for _, victim := range placement.Victims {
		victimJob := t.scheduler.cache.Jobs[victim.UID]
		t.editor.StopTask(victimJob, victim)
		line.Preempts = append(line.Preempts, victim.TaskName(victimJob))
	}
	t.placed = append(t.placed, line)
	t.zonesOf(job).add(placement.RangeIndex, placement.Host.Zone)
	return placementAdded
}

// place puts a placement into the job's records and returns what to log of it.
func (t *placementTransaction) place(job *statecache.Job, placement *capacity.Placement) PlacementLog {
	spec := &job.Record.Spec
	t.scheduler.leadership.RequireLeadership(t.editor.Txn, job.Record.Shard)
	t.editor.Txn.Require(statecache.JobKey(spec.UID), job.Version)
	taskRange := t.editor.TaskRange(job, placement.RangeIndex)
	if spec.Together && job.Record.Zone == "" {
		t.editor.Record(job).Zone = placement.Host.Zone
	}
	attempt := taskRange.Place(placement.Index, placement.Host.Name, secondsSinceAccepted(job, t.now))
	return newPlacementLog(job, placement, attempt)
}

// zonesOf returns the constraint of a job's zones, with what the transaction places.
func (t *placementTransaction) zonesOf(job *statecache.Job) *zoneConstraint {
	uid := job.Record.Spec.UID
	constraint := t.zonesByJob[uid]
	if constraint == nil {
		constraint = t.scheduler.zoneConstraintOf(job, t.admission)
		t.zonesByJob[uid] = constraint
	}
	return constraint
}
