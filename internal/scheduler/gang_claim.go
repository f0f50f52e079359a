package scheduler

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/job"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// GangClaimWrites is the usual number of writes in the transaction of a gang's claim: the job's
// main record and the capacity records of the shards in which it is placed. Other decisions leave
// this many writes of the write budget to gangs while gangs arrive.
const GangClaimWrites = 3

// WritesReservedForGangs returns how many writes of the write budget other decisions leave to
// gangs: GangClaimWrites if a gang arrived within MaxStartDelay, otherwise none.
func (s *Scheduler) WritesReservedForGangs(now time.Time) float64 {
	if s.accounting.Arrivals().ArrivedSince(api.Gang, now.Add(-MaxStartDelay)) {
		return GangClaimWrites
	}
	return 0
}

// GangClaim is planned placements for all unplaced tasks of a gang.
type GangClaim struct {
	UID        string
	Placements []capacity.Placement
}

// gangTransaction collects the placements of a gang for one transaction.
type gangTransaction struct {
	scheduler      *Scheduler
	now            time.Time
	job            *statecache.Job
	editor         *schema.Editor
	claims         *capacity.Claims
	zoneConstraint *zoneConstraint
	placedBefore   int
	attempt        uint64 // attempt number of all tasks that this transaction places
	placed         []PlacementLog
}

// GangTransaction prepares a transaction that claims capacity for as many tasks of a gang as fit into
// it. If all tasks of the gang have a placement then, the transaction also lets the workers start
// them; otherwise the capacity is only claimed. It returns no transaction if the capacity is no
// longer available; the gang is then planned again.
func (s *Scheduler) GangTransaction(claim *GangClaim, now time.Time) PlacementResult {
	gangJob := s.cache.Jobs[claim.UID]
	if gangJob == nil || !gangJob.Record.Gang.AcceptsPlacements() && gangJob.CountPlaced() > 0 {
		return PlacementResult{}
	}
	t := &gangTransaction{
		scheduler:      s,
		now:            now,
		job:            gangJob,
		editor:         s.schema.NewRecordEditor(),
		claims:         s.accounting.NewClaims(),
		zoneConstraint: s.zoneConstraintOf(gangJob, s.zones.Admission(now)),
		placedBefore:   gangJob.CountPlaced(),
	}
	t.editor.MaxWrites = s.schema.TransactionLimits().TxnOps
	var remaining []capacity.Placement
	for i, placement := range claim.Placements {
		outcome := t.add(placement)
		if outcome == placementRefused {
			return PlacementResult{}
		}
		if outcome == transactionFull {
			remaining = claim.Placements[i:]
			break
		}
	}
	return t.finish(remaining)
}

// add claims capacity for one task. If one task is refused, the whole claim is abandoned.
func (t *gangTransaction) add(placement capacity.Placement) placementOutcome {
	pendingClaim := t.claims.Check(placement, t.now)
	if pendingClaim == nil || !t.zoneConstraint.allows(placement.RangeIndex, placement.Host.Zone) {
		return placementRefused
	}
	writes := pendingClaim.Writes() + t.editor.RangeCost(t.job, placement.RangeIndex)
	if writes > 0 && t.editor.IsFull(writes, t.claims.Writes(), t.job) {
		return transactionFull
	}
	pendingClaim.Apply()
	t.scheduler.leadership.RequireLeadership(t.editor.Txn, t.job.Record.Shard)
	taskRange := t.editor.TaskRange(t.job, placement.RangeIndex)
	record := t.editor.Record(t.job)
	if len(t.placed) == 0 {
		t.beginAttempt(record)
	}
	if t.job.Record.Spec.SingleZone && record.Zone == "" {
		record.Zone = placement.Host.Zone
	}
	if t.hasAttemptEnded(placement) {
		return placementRefused
	}
	taskRange.PlaceGangTask(placement.Index, placement.Host.Name, t.attempt, secondsSinceAccepted(t.job, t.now))
	t.zoneConstraint.addTask(placement.RangeIndex, placement.Host.Zone)
	t.placed = append(t.placed, newPlacementLog(t.job, &placement, t.attempt))
	return placementAdded
}

// beginAttempt sets the attempt that the placements belong to. A new attempt is not bound to a
// zone.
func (t *gangTransaction) beginAttempt(record *job.Record) {
	if record.Gang == nil {
		record.Gang = &job.Gang{}
	}
	previousAttempt := record.Gang.Attempt
	t.attempt = record.Gang.EnsureAttempt(t.placedBefore)
	if t.attempt != previousAttempt {
		record.Zone = ""
	}
}

// hasAttemptEnded reports whether this attempt of the task has already ended on the machine.
func (t *gangTransaction) hasAttemptEnded(placement capacity.Placement) bool {
	worker := t.scheduler.agents.Agent(placement.Host.Name)
	if worker == nil {
		return false
	}
	key := statecache.PlacementKey(t.job.Record.Spec.UID, placement.RangeIndex, placement.Index)
	return worker.EndedAttempts[key].Attempt == t.attempt
}

// finish launches the gang if all its tasks have a placement, and returns the transaction.
func (t *gangTransaction) finish(remaining []capacity.Placement) PlacementResult {
	if len(t.placed) == 0 {
		return PlacementResult{}
	}
	if t.placedBefore+len(t.placed) == t.job.Record.Spec.Tasks {
		t.editor.Record(t.job).Gang.Launch(secondsSinceAccepted(t.job, t.now))
	}
	transaction := t.editor.BuildTransaction()
	if t.editor.HasOversizedRecord {
		return PlacementResult{}
	}
	t.claims.Write(transaction)
	return PlacementResult{Transaction: transaction, Remaining: remaining, Placed: t.placed}
}
