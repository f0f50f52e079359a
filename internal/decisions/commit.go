package decisions

import (
	"context"

	"violetturn/internal/schema"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// Purposes of transactions. The log's summary counts transactions by purpose.
const (
	purposeZones           = "zones"
	purposeRegistrations   = "registrations"
	purposeGangUpdates     = "gang updates"
	purposeGangClaims      = "gang claims"
	purposeTaskEnds        = "task ends"
	purposeArchive         = "archive"
	purposePlacements      = "placements"
	purposePreemptions     = "preemptions"
	purposeQuotaShares     = "quota shares"
	purposeCapacityRecords = "capacity records"
	purposeDeregistrations = "deregistrations"
	purposeSplits          = "splits"
	purposeGarbage         = "garbage"
)

// commitOutcome is the result of sending a transaction, as far as it is known.
type commitOutcome uint8

const (
	committed      commitOutcome = iota
	rejected                     // not committed: a conflicting write came first, or the transaction is too large
	outcomeUnknown               // no response, or refused: only a later read shows whether it was committed
)

// isKnown reports whether the outcome is known, so that another transaction may be planned on the
// state that results from it.
func (o commitOutcome) isKnown() bool { return o != outcomeUnknown }

// commit sends a transaction and, if it is committed, applies it to the cache. It is counted under
// the given purpose.
func (l *Loop) commit(ctx context.Context, purpose string, transaction *statecache.Transaction, priority store.Priority) commitOutcome {
	done, _, err := l.sync.Commit(ctx, purpose, transaction, priority)
	switch {
	case done:
		return committed
	case err != nil:
		return outcomeUnknown
	}
	return rejected
}

// awaitWrites waits, for a bounded time, until the write budget holds the given number of writes.
// It returns how many the budget holds.
func (l *Loop) awaitWrites(ctx context.Context, writes int, priority store.Priority) int {
	return l.services.Store.AwaitWriteBudget(ctx, writes, priority)
}

// prepareCommit waits until the write budget holds the given number of writes and then brings the
// cache up to date: reading the newest records costs one request, while a conflict wastes all writes
// of a transaction. It returns how many writes the budget holds, and whether a plan may be committed
// now, which requires at least the minimum.
func (l *Loop) prepareCommit(ctx context.Context, writes, minimum int, priority store.Priority) (available int, ok bool) {
	available = l.awaitWrites(ctx, writes, priority)
	if available < minimum || !l.sync.MayActNow() || l.sync.RefreshCache(ctx) != nil {
		return available, false
	}
	return available, true
}

// recordsPlan is a planned transaction that writes job records.
type recordsPlan struct {
	transaction    *statecache.Transaction // nil if there is nothing to commit
	recordTooLarge bool                    // a record exceeds the size limit: it must be split, and the rest planned again
}

// newRecordsPlan returns the plan with the writes that an editor has collected.
func newRecordsPlan(editor *schema.Editor) recordsPlan {
	transaction := editor.BuildTransaction()
	if editor.Writes == 0 || editor.HasOversizedRecord {
		return recordsPlan{recordTooLarge: editor.HasOversizedRecord}
	}
	return recordsPlan{transaction: transaction}
}
