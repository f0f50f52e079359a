package decisions

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/job"
	"violetturn/internal/scheduler"
	"violetturn/internal/schema"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// gangUpdate describes a change of a gang's state, for the log.
type gangUpdate struct {
	uid          string
	attempt      uint64
	oldPhase     job.GangPhase
	newState     *job.Gang // nil if the job is finished
	endedTasks   int       // number of its tasks that ended
	placedBefore int       // number of its tasks that were placed before
}

// logAttrs returns the log attributes of the update.
func (u gangUpdate) logAttrs() []slog.Attr {
	attributes := []slog.Attr{
		slog.String("job", u.uid),
		slog.Uint64("attempt", u.attempt),
		slog.Any("phase_before", u.oldPhase),
	}
	if u.newState != nil {
		attributes = append(attributes, slog.Any("ended", u.newState.Ended), slog.Bool("stopping", u.newState.Stopping))
	} else {
		attributes = append(attributes, slog.Bool("done", true))
	}
	return append(attributes, slog.Int("ends", u.endedTasks), slog.Int("placed", u.placedBefore))
}

// gangUpdatesPlan is a planned transaction that updates the state of gangs.
type gangUpdatesPlan struct {
	recordsPlan
	updates []gangUpdate
	more    bool // not all gangs were updated in the transaction
}

// UpdateGangs commits changes of gangs' states: ends of their tasks, each of which determines how
// the whole gang continues, orderly stops, and releases of claims.
func (l *Loop) UpdateGangs(ctx context.Context) (more bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	if len(state.Cache.Gangs) == 0 {
		l.guard.Unlock()
		return false
	}
	plan := planGangUpdates(state, now)
	l.guard.Unlock()
	if plan.transaction == nil {
		return plan.recordTooLarge
	}
	result := l.commit(ctx, purposeGangUpdates, plan.transaction, store.PriorityGang)
	if result == committed {
		for _, update := range plan.updates {
			l.node.Log.LogAttrs(ctx, slog.LevelInfo, "gang", update.logAttrs()...)
		}
		l.wake.Notify()
	}
	return result.isKnown() && plan.more
}

// minGangUpdateWrites is the minimum number of writes that an update of a gang takes: its main
// record and either its final state or a task range.
const minGangUpdateWrites = 2

// planGangUpdates updates as many gangs as fit into a transaction.
func planGangUpdates(s *state.State, now time.Time) gangUpdatesPlan {
	var plan gangUpdatesPlan
	endsByJob := map[string][]agent.EndedTask{}
	for id, ends := range s.Scheduler.EndedGangAttempts(now) {
		endsByJob[id.UID] = append(endsByJob[id.UID], ends...)
	}
	editor := s.Schema.NewRecordEditor()
	s.Leadership.RequireLeaderships(editor.Txn)
	for _, uid := range slices.Sorted(maps.Keys(s.Cache.Gangs)) {
		j := s.Cache.Jobs[uid]
		if s.Schema.TasksBlocked(j) || j.Record.Gang == nil {
			continue
		}
		if editor.IsFull(minGangUpdateWrites, 0, j) {
			plan.more = true
			break
		}
		if s.Scheduler.UpdateGang(editor, j, endsByJob[uid], now) {
			plan.updates = append(plan.updates, newGangUpdate(editor, j, len(endsByJob[uid])))
		}
	}
	plan.recordsPlan = newRecordsPlan(editor)
	return plan
}

// newGangUpdate describes the change of a gang's state that an editor holds, after the given number
// of its tasks ended.
func newGangUpdate(editor *schema.Editor, j *statecache.Job, endedTasks int) gangUpdate {
	placedBefore := j.CountPlaced()
	update := gangUpdate{
		uid: j.Record.Spec.UID, attempt: j.Record.Gang.Attempt, oldPhase: j.Record.Gang.Phase(placedBefore),
		endedTasks: endedTasks, placedBefore: placedBefore,
	}
	if record := editor.Records[update.uid]; record != nil {
		update.newState = record.Gang
	}
	return update
}

const (
	// maxConsecutiveConflicts limits how often in a row a transaction is rebuilt and retried after
	// a conflicting write.
	maxConsecutiveConflicts = 3
	// minGangClaimWrites is the minimum number of writes that one transaction of a gang's claim
	// takes.
	minGangClaimWrites = 2
	// gangRetryIntervals is the number of decision intervals before a gang that lacked capacity is
	// planned again ahead of the regular decisions.
	gangRetryIntervals = 8
)

// commitGangClaim commits the claim of a gang in as many transactions as it takes.
func (l *Loop) commitGangClaim(ctx context.Context, claim *scheduler.GangClaim) {
	for conflicts := 0; len(claim.Placements) > 0 && conflicts < maxConsecutiveConflicts; {
		writes := min(scheduler.GangClaimWrites, l.node.Settings.LowestLimits().TxnOps)
		if _, ok := l.prepareCommit(ctx, writes, minGangClaimWrites, store.PriorityGang); !ok {
			return
		}
		state := l.guard.Lock()
		step := state.Scheduler.GangTransaction(claim, l.node.Now())
		l.guard.Unlock()
		if step.Transaction == nil {
			return
		}
		switch l.commit(ctx, purposeGangClaims, step.Transaction, store.PriorityGang) {
		case committed:
			claim.Placements, conflicts = step.Remaining, 0
			l.logPlacements(ctx, step.Placed)
			state = l.guard.Lock()
			state.Scheduler.RecordGangClaimed(claim.UID)
			l.guard.Unlock()
		case rejected:
			conflicts++
		case outcomeUnknown:
			return
		}
	}
}

// RunGangPlacement places gangs as soon as they are accepted, until ctx ends. It runs concurrently
// with the other decisions, which may be waiting for their write budget. The state service rejects
// one of two conflicting writes.
func (l *Loop) RunGangPlacement(ctx context.Context) {
	for {
		select {
		case <-l.gangAccepted:
			l.placeWaitingGangs(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// placeWaitingGangs places gangs that were accepted while other decisions wait for their write
// budget. All tasks of a gang start together with its last one, so a delay of one second costs one
// second for each of its tasks. A gang that lacks capacity is not planned again ahead of the regular
// decisions until gangRetryIntervals have passed.
func (l *Loop) placeWaitingGangs(ctx context.Context) {
	now := l.node.Now()
	state := l.guard.Lock()
	reserved := state.Scheduler.WritesReservedForGangs(now)
	claims := planWaitingGangs(state, gangRetryIntervals*l.node.Settings.DecisionInterval(), now)
	l.guard.Unlock()
	l.services.Store.ReserveForGangs(reserved)
	for _, claim := range claims {
		l.commitGangClaim(ctx, claim)
	}
}

// planWaitingGangs makes a plan if any gang waits for capacity and was not planned ahead of the
// regular decisions within the retry interval. It returns the claims of all gangs that the plan
// finds capacity for.
func planWaitingGangs(s *state.State, retryInterval time.Duration, now time.Time) []*scheduler.GangClaim {
	searchDue := false
	for uid := range s.Cache.Gangs {
		j := s.Cache.Jobs[uid]
		if j.Record.Cancelled || !s.Leadership.Leads(j.Record.Shard) || len(j.PendingTasks()) == 0 {
			continue
		}
		if s.Scheduler.AllowImmediateSearch(uid, now, retryInterval) {
			searchDue = true
		}
	}
	if !searchDue || !s.Leadership.MayAct(now) {
		return nil
	}
	return s.Scheduler.Plan(now).GangClaims
}
