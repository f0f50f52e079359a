package scheduler

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/job"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// GangClaimChanges is how many changes a gang's claim makes as a rule: its main record and
// the shards' that it is on. As many are left to gangs while there are any.
const GangClaimChanges = 3

// ChangesReservedForGangs returns how many changes other decisions leave for gangs: some if a
// gang came lately.
func (s *Scheduler) ChangesReservedForGangs(now time.Time) float64 {
	if s.accounts.Arrivals().CameSince(api.Gang, now.Add(-MaxStartDelay)) {
		return GangClaimChanges
	}
	return 0
}

// GangClaim is room for all tasks of a gang that lack some.
type GangClaim struct {
	UID        string
	Placements []capacity.Placement
}

// gangTransaction collects the placements of a gang for one transaction.
type gangTransaction struct {
	scheduler    *Scheduler
	now          time.Time
	job          *statecache.Job
	editor       *schema.Editor
	claims       *capacity.Claims
	zones        *zoneConstraint
	placedBefore int
	attempt      uint64 // of all tasks placed by it
	placed       []PlacementLog
}

// GangTransaction claims room for a gang: all that fits one transaction. If then all of its
// tasks have a placement the same write lets the workers start them, otherwise the room is
// only claimed. It returns no transaction when the room is no longer there: the gang is then
// planned anew.
func (s *Scheduler) GangTransaction(claim *GangClaim, now time.Time) PlacementResult {
	j := s.cache.Jobs[claim.UID]
	if j == nil || !j.Record.Gang.AcceptsPlacements() && j.CountPlaced() > 0 {
		return PlacementResult{}
	}
	t := &gangTransaction{
		scheduler:    s,
		now:          now,
		job:          j,
		editor:       s.schema.NewRecordEditor(),
		claims:       s.accounts.NewClaims(),
		zones:        s.zoneConstraintOf(j, s.zones.Admission(now)),
		placedBefore: j.CountPlaced(),
	}
	t.editor.MaxChanges = s.schema.TransactionLimits().TxnOps
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

// add claims room for one task. All or nothing: one that is refused refuses the whole claim.
func (t *gangTransaction) add(placement capacity.Placement) placementOutcome {
	pending := t.claims.Check(placement, t.now)
	if pending == nil || !t.zones.allows(placement.RangeIndex, placement.Host.Zone) {
		return placementRefused
	}
	changes := pending.Changes() + t.editor.RangeCost(t.job, placement.RangeIndex)
	if changes > 0 && t.editor.IsFull(changes, t.claims.Changes()) {
		return transactionFull
	}
	pending.Apply()
	t.scheduler.leadership.RequireLeadership(t.editor.Txn, t.job.Record.Shard)
	taskRange := t.editor.TaskRange(t.job, placement.RangeIndex)
	record := t.editor.Record(t.job)
	if len(t.placed) == 0 {
		t.beginAttempt(record)
	}
	if t.job.Record.Spec.Together && record.Zone == "" {
		record.Zone = placement.Host.Zone
	}
	if t.hasEndedThere(placement) {
		return placementRefused
	}
	taskRange.PlaceAttempt(placement.Index, placement.Host.Name, t.attempt, secondsSinceAccepted(t.job, t.now))
	t.zones.add(placement.RangeIndex, placement.Host.Zone)
	t.placed = append(t.placed, newPlacementLog(t.job, &placement, t.attempt))
	return placementAdded
}

// beginAttempt sets the attempt that the placements belong to; a new one is bound to no zone.
func (t *gangTransaction) beginAttempt(record *job.Record) {
	if record.Gang == nil {
		record.Gang = &job.Gang{}
	}
	before := record.Gang.Attempt
	t.attempt = record.Gang.EnsureAttempt(t.placedBefore)
	if t.attempt != before {
		record.Zone = ""
	}
}

// hasEndedThere reports whether this attempt of the task has ended on the machine already.
func (t *gangTransaction) hasEndedThere(placement capacity.Placement) bool {
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
	transaction := t.editor.Transaction()
	if t.editor.HasOversizedRecord {
		return PlacementResult{}
	}
	t.claims.Write(transaction)
	return PlacementResult{Transaction: transaction, Remaining: remaining, Placed: t.placed}
}
