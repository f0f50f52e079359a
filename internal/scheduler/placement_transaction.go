package scheduler

import (
	"time"

	"violetturn/internal/capacity"
	"violetturn/internal/recovery"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// PlacementResult is a transaction that commits placements, together with the work that it leaves.
type PlacementResult struct {
	Transaction    *statecache.Transaction  // nil: there is nothing to commit
	Remaining      []capacity.Placement     // placements that do not fit into the transaction
	Placed         []PlacementLog           // log entries of the placements, to be logged once the transaction is committed
	StopSeparately []*statecache.PlacedTask // victims that do not fit into one transaction with their placement; to be stopped first
}

// placementOutcome is the result of adding a placement to a transaction.
type placementOutcome int

const (
	placementAdded    placementOutcome = iota
	placementRefused                   // no longer possible, because the state has changed since the plan; the task is planned again
	placementTooLarge                  // the placement and the stops of its victims exceed the limit of a transaction
	transactionFull                    // the placement does not fit into the rest of this transaction
)

// CanStop reports whether a task can still be stopped: its job's tasks are not blocked (see
// schema.TasksBlocked), and the attempt is still placed and not stopping already.
func (s *Scheduler) CanStop(job *statecache.Job, task *statecache.PlacedTask) bool {
	if job == nil || s.schema.TasksBlocked(job) {
		return false
	}
	placement := job.Ranges[task.RangeIndex].Record.PlacementOf(task.Index)
	return placement != nil && placement.Attempt == task.Placement.Attempt && !job.MustStop(placement)
}

// CountJobs counts the jobs whose records placements change, including the jobs of preempted tasks.
func CountJobs(placements []capacity.Placement) int {
	uids := map[string]bool{}
	for _, placement := range placements {
		uids[placement.UID] = true
		for _, victim := range placement.Victims {
			uids[victim.UID] = true
		}
	}
	return len(uids)
}

// placementTransaction builds a transaction from placements.
type placementTransaction struct {
	scheduler       *Scheduler
	now             time.Time
	editor          *schema.Editor
	claims          *capacity.Claims
	admission       *recovery.Admission
	zoneConstraints map[string]*zoneConstraint // by job, each computed at its first use
	placed          []PlacementLog
}

// PlacementTransaction prepares a transaction with as many placements as fit into it and into the
// write budget. The plan may be older than the state, so each placement is checked again. A placement
// that preempts tasks (its victims) is committed together with the marks that stop them: the leader's
// next heartbeat response then stops the victims and starts the task, without a separate commit and
// heartbeat for each.
func (s *Scheduler) PlacementTransaction(placements []capacity.Placement, writeBudget int, now time.Time) PlacementResult {
	t := &placementTransaction{
		scheduler:       s,
		now:             now,
		editor:          s.schema.NewRecordEditor(),
		claims:          s.accounting.NewClaims(),
		admission:       s.zones.Admission(now),
		zoneConstraints: map[string]*zoneConstraint{},
	}
	t.editor.MaxWrites = min(t.editor.MaxWrites, writeBudget)
	var result PlacementResult
	for i := range placements {
		outcome := t.add(&placements[i])
		if outcome == placementTooLarge {
			result.StopSeparately = append(result.StopSeparately, placements[i].Victims...)
		}
		if outcome == transactionFull {
			result.Remaining = append(result.Remaining, placements[i:]...)
			break
		}
	}
	if len(t.placed) == 0 {
		return PlacementResult{StopSeparately: result.StopSeparately}
	}
	transaction := t.editor.BuildTransaction()
	if t.editor.HasOversizedRecord {
		return PlacementResult{}
	}
	t.claims.Write(transaction)
	result.Transaction, result.Placed = transaction, t.placed
	return result
}

// add adds a placement and the stops of its victims, if they are all still possible and fit into the
// transaction.
func (t *placementTransaction) add(placement *capacity.Placement) placementOutcome {
	pendingClaim := t.claims.Check(*placement, t.now)
	if pendingClaim == nil || !t.zoneConstraintOf(pendingClaim.Job()).allows(placement.RangeIndex, placement.Host.Zone) {
		return placementRefused
	}
	job := pendingClaim.Job()
	writes := pendingClaim.Writes() + t.editor.RangeCost(job, placement.RangeIndex)
	if job.Record.Spec.SingleZone && job.Record.Zone == "" {
		writes++
	}
	jobs := []*statecache.Job{job}
	for _, victim := range placement.Victims {
		victimJob := t.scheduler.cache.Jobs[victim.UID]
		if !t.scheduler.CanStop(victimJob, victim) {
			return placementRefused // the victim may have ended and left its capacity free
		}
		writes += t.editor.StopCost(victimJob, victim)
		jobs = append(jobs, victimJob)
	}
	if t.editor.Writes == 0 && len(placement.Victims) > 0 && writes > t.scheduler.schema.TransactionLimits().TxnOps {
		return placementTooLarge
	}
	if writes > 0 && t.editor.IsFull(writes, t.claims.Writes(), jobs...) {
		return transactionFull
	}
	pendingClaim.Apply()
	logEntry := t.place(job, placement)
	for _, victim := range placement.Victims {
		victimJob := t.scheduler.cache.Jobs[victim.UID]
		t.editor.StopTask(victimJob, victim)
		logEntry.Preempts = append(logEntry.Preempts, victim.TaskName(victimJob))
	}
	t.placed = append(t.placed, logEntry)
	t.zoneConstraintOf(job).addTask(placement.RangeIndex, placement.Host.Zone)
	return placementAdded
}

// place records a placement in the job's records and returns its log entry.
func (t *placementTransaction) place(job *statecache.Job, placement *capacity.Placement) PlacementLog {
	spec := &job.Record.Spec
	t.scheduler.leadership.RequireLeadership(t.editor.Txn, job.Record.Shard)
	t.editor.Txn.Require(statecache.JobKey(spec.UID), job.Version)
	taskRange := t.editor.TaskRange(job, placement.RangeIndex)
	if spec.SingleZone && job.Record.Zone == "" {
		t.editor.Record(job).Zone = placement.Host.Zone
	}
	attempt := taskRange.Place(placement.Index, placement.Host.Name, secondsSinceAccepted(job, t.now))
	return newPlacementLog(job, placement, attempt)
}

// zoneConstraintOf returns the zone constraint of a job, which includes the placements that were
// added to the transaction.
func (t *placementTransaction) zoneConstraintOf(job *statecache.Job) *zoneConstraint {
	uid := job.Record.Spec.UID
	constraint := t.zoneConstraints[uid]
	if constraint == nil {
		constraint = t.scheduler.zoneConstraintOf(job, t.admission)
		t.zoneConstraints[uid] = constraint
	}
	return constraint
}
