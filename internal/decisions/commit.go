package decisions

import (
	"context"

	"violetturn/internal/schema"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// Purposes of transactions, under which the log's summary counts them.
const (
	forZones           = "zones"
	forRegistrations   = "registrations"
	forGangUpdates     = "gang updates"
	forGangClaims      = "gang claims"
	forEnds            = "task ends"
	forArchive         = "archive"
	forPlacements      = "placements"
	forStops           = "preemptions"
	forQuotaShares     = "quota shares"
	forCapacityRecords = "capacity records"
	forDeregistrations = "deregistrations"
	forSplits          = "splits"
	forGarbage         = "garbage"
)

// outcome is what is known of a transaction that was sent.
type outcome uint8

const (
	committed      outcome = iota
	rejected               // surely not committed: another write came first, or it is too large now
	outcomeUnknown         // no answer, or refused: only a later read shows whether it was committed
)

// settled reports whether the outcome is known, so that the next transaction can rest on it.
func (o outcome) settled() bool { return o != outcomeUnknown }

// commit sends a transaction of some purpose and has the cache take in what was committed.
func (l *Loop) commit(ctx context.Context, purpose string, t *statecache.Transaction, priority store.Priority) outcome {
	done, _, err := l.sync.Commit(ctx, purpose, t, priority)
	switch {
	case done:
		return committed
	case err != nil:
		return outcomeUnknown
	}
	return rejected
}

// awaitWrites waits until the budget holds so many changes, for a bounded time, and returns how
// many there are.
func (l *Loop) awaitWrites(ctx context.Context, changes int, priority store.Priority) int {
	return l.services.Store.AwaitWrites(ctx, changes, priority)
}

// prepare waits for so many changes in the budget and then brings the cache up to date: looking at
// the newest records costs a request, losing against another write costs all changes. It returns
// how many changes there are, and whether a plan may be committed now: not with fewer than least.
func (l *Loop) prepare(ctx context.Context, changes, least int, priority store.Priority) (available int, ok bool) {
	available = l.awaitWrites(ctx, changes, priority)
	if available < least || !l.sync.MayActNow() || l.sync.RefreshCache(ctx) != nil {
		return available, false
	}
	return available, true
}

// editedRecords is a transaction that changes jobs' records.
type editedRecords struct {
	transaction *statecache.Transaction // nil: there is nothing to commit
	outgrown    bool                    // a record outgrew a value: it is to be split, and the rest planned anew
}

// finishEdit ends the changes of an editor.
func finishEdit(e *schema.Editor) editedRecords {
	t := e.Transaction()
	if e.Changes == 0 || e.HasOversizedRecord {
		return editedRecords{outgrown: e.HasOversizedRecord}
	}
	return editedRecords{transaction: t}
}
