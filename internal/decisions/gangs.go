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

// gangUpdate is what became of a gang, for the log.
type gangUpdate struct {
	uid         string
	attempt     uint64
	phaseBefore job.GangPhase
	after       *job.Gang // nil: its job is over
	ends        int       // tasks of it that ended
	placed      int       // tasks of it that had a place before
}

// attributes returns the log's attributes of an update.
func (u gangUpdate) attributes() []slog.Attr {
	attributes := []slog.Attr{
		slog.String("job", u.uid),
		slog.Uint64("attempt", u.attempt),
		slog.Any("phase_before", u.phaseBefore),
	}
	if u.after != nil {
		attributes = append(attributes, slog.Any("ended", u.after.Ended), slog.Bool("stopping", u.after.Stopping))
	} else {
		attributes = append(attributes, slog.Bool("done", true))
	}
	return append(attributes, slog.Int("ends", u.ends), slog.Int("placed", u.placed))
}

// gangUpdatesPlan is what became of gangs and is to be committed.
type gangUpdatesPlan struct {
	editedRecords
	updates []gangUpdate
	more    bool // the rest goes into the next transaction
}

// UpdateGangs commits what became of gangs: ends of their tasks, which decide about all
// of them, orderly stops, claims that are released.
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
		return plan.outgrown
	}
	result := l.commit(ctx, forGangUpdates, plan.transaction, store.PriorityGang)
	if result == committed {
		for _, u := range plan.updates {
			l.node.Log.LogAttrs(ctx, slog.LevelInfo, "gang", u.attributes()...)
		}
		l.wake.Notify()
	}
	return result.settled() && plan.more
}

// gangUpdateCost is how many changes the update of a gang takes at least: its main record and its
// final state, or a task range.
const gangUpdateCost = 2

// planGangUpdates collects what became of gangs, of as many as a transaction takes.
func planGangUpdates(s *state.State, now time.Time) gangUpdatesPlan {
	var plan gangUpdatesPlan
	endsByJob := map[string][]agent.EndedTask{}
	for id, ends := range s.Scheduler.EndedGangAttempts(now) {
		endsByJob[id.UID] = append(endsByJob[id.UID], ends...)
	}
	e := s.Schema.NewRecordEditor()
	s.Leadership.RequireLeaderships(e.Txn)
	for _, uid := range slices.Sorted(maps.Keys(s.Cache.Gangs)) {
		j := s.Cache.Jobs[uid]
		if s.Schema.TasksBlocked(j) || j.Record.Gang == nil {
			continue
		}
		if e.IsFull(gangUpdateCost, 0) {
			plan.more = true
			break
		}
		if s.Scheduler.UpdateGang(e, j, endsByJob[uid], now) {
			plan.updates = append(plan.updates, describeGangUpdate(e, j, len(endsByJob[uid])))
		}
	}
	plan.editedRecords = finishEdit(e)
	return plan
}

// describeGangUpdate returns what an editor makes of a gang of which so many tasks ended.
func describeGangUpdate(e *schema.Editor, j *statecache.Job, ends int) gangUpdate {
	placed := j.CountPlaced()
	u := gangUpdate{
		uid: j.Record.Spec.UID, attempt: j.Record.Gang.Attempt, phaseBefore: j.Record.Gang.Phase(placed),
		ends: ends, placed: placed,
	}
	if record := e.Records[u.uid]; record != nil {
		u.after = record.Gang
	}
	return u
}

const (
	// maxConflicts is how often in a row a plan is tried again after another write came first.
	maxConflicts = 3
	// minGangWrites is how many changes a step of a gang's claim takes at least.
	minGangWrites = 2
	// gangLookIntervals is for how many decision intervals a gang that found no room is not looked
	// at again out of turn.
	gangLookIntervals = 8
)

// commitGangClaim commits a gang's claim, in as many steps as it takes.
func (l *Loop) commitGangClaim(ctx context.Context, claim *scheduler.GangClaim) {
	for conflicts := 0; len(claim.Placements) > 0 && conflicts < maxConflicts; {
		changes := min(scheduler.GangClaimChanges, l.node.Settings.LowestLimits().TxnOps)
		if _, ok := l.prepare(ctx, changes, minGangWrites, store.PriorityGang); !ok {
			return
		}
		state := l.guard.Lock()
		step := state.Scheduler.GangTransaction(claim, l.node.Now())
		l.guard.Unlock()
		if step.Transaction == nil {
			return
		}
		switch l.commit(ctx, forGangClaims, step.Transaction, store.PriorityGang) {
		case committed:
			claim.Placements, conflicts = step.Remaining, 0
			l.logPlaced(ctx, step.Placed)
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

// RunGangPlacement places gangs as they are accepted, beside the decisions that wait for their
// changes, until ctx ends. What both write at once is decided by the state service.
func (l *Loop) RunGangPlacement(ctx context.Context) {
	for {
		select {
		case <-l.gangAccepted:
			l.placeNewGangs(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// placeNewGangs places gangs that came while other decisions wait for their changes: all
// tasks of one start with the last, so each second counts as often as it has tasks. One
// that finds no room is not looked at again for a while out of turn.
func (l *Loop) placeNewGangs(ctx context.Context) {
	now := l.node.Now()
	state := l.guard.Lock()
	reserved := state.Scheduler.ChangesReservedForGangs(now)
	claims := planNewGangs(state, gangLookIntervals*l.node.Settings.DecisionInterval(), now)
	l.guard.Unlock()
	l.services.Store.ReserveForGangs(reserved)
	for _, claim := range claims {
		l.commitGangClaim(ctx, claim)
	}
}

// planNewGangs plans if there are gangs that wait for room and weren't looked at within a pause, and
// returns the claims of all gangs that have room then.
func planNewGangs(s *state.State, pause time.Duration, now time.Time) []*scheduler.GangClaim {
	waiting := false
	for uid := range s.Cache.Gangs {
		j := s.Cache.Jobs[uid]
		if j.Record.Cancelled || !s.Leadership.Leads(j.Record.Shard) || len(j.PendingTasks()) == 0 {
			continue
		}
		if s.Scheduler.AllowImmediateSearch(uid, now, pause) {
			waiting = true
		}
	}
	if !waiting || !s.Leadership.MayAct(now) {
		return nil
	}
	return s.Scheduler.Plan(now).Gangs
}
