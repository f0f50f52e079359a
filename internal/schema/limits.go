package schema

import (
	"maps"
	"slices"

	"violetturn/internal/config"
	"violetturn/internal/statecache"
)

// minTxnOps is the number of writes of the largest step that can't be divided: a placement with
// the records of its shard and its team.
const minTxnOps = 4

// valueSlackBytes is left free in each value because the state service may count more bytes than
// those of the JSON sent to it.
const valueSlackBytes = 32

// bytesPerKB is the number of bytes in the unit of the sizes in the settings.
const bytesPerKB = 1024

// TransactionLimits returns the limits for new records and transactions. They hold under both the
// current and the announced limits of the state service. Larger records written by the previous
// version keep their size as long as a controller of that version may write them, and are split
// afterwards.
func (s *State) TransactionLimits() config.StateLimits {
	limits := s.node.Settings.LowestLimits()
	if s.reducedTxnOps > 0 {
		limits.TxnOps = min(limits.TxnOps, s.reducedTxnOps)
	}
	return limits
}

// MaxWrites returns how many writes a transaction may have now. It is bounded by the available
// write budget, so that a large transaction does not delay others until the budget has refilled,
// but is at least what one step needs.
func (s *State) MaxWrites() int {
	return min(s.TransactionLimits().TxnOps, max(minTxnOps, s.budget.Available()))
}

// MaxRecordBytes returns the maximum size of a job's record.
func (s *State) MaxRecordBytes() int {
	limits := s.node.Settings.LowestLimits()
	if !s.AllUpgraded() && !s.limitsLowered {
		limits = s.node.Settings.Facts.State.StateLimits
	}
	return int(limits.ValueKB*bytesPerKB) - valueSlackBytes
}

// MaxGrowableBytes returns the maximum size of a new record that may grow later: seven eighths of a
// value.
func (s *State) MaxGrowableBytes() int { return growableBytes(s.node.Settings.LowestLimits().ValueKB) }

// MaxPageBytes is the equivalent of MaxGrowableBytes for machine pages. The previous version sizes
// pages by the current limits.
func (s *State) MaxPageBytes() int {
	if s.usesLowestLimits() {
		return s.MaxGrowableBytes()
	}
	return growableBytes(s.node.Settings.Facts.State.ValueKB)
}

// growableBytes returns seven eighths of the size of a value.
func growableBytes(valueKB float64) int { return int(valueKB * bytesPerKB * 7 / 8) }

// usesLowestLimits reports whether machine pages are sized by the lowest limits: either no
// controller of the previous version has to derive their IDs, or the lower limits are in force.
func (s *State) usesLowestLimits() bool { return s.AllUpgraded() || s.limitsLowered }

// LowerLimits records that the announced lower limits of the state service are in force, because it
// refused a transaction as too large. It returns false if that was recorded before.
func (s *State) LowerLimits() bool {
	if s.limitsLowered {
		return false
	}
	s.limitsLowered = true
	return true
}

// ReduceMaxWrites records that the state service refused a transaction with this many writes
// although it was within the announced limits. It lowers the maximum to one change less, but not
// below what the largest step needs.
func (s *State) ReduceMaxWrites(writes int) { s.reducedTxnOps = max(writes-1, minTxnOps) }

// RequestSplit requests that a job's records be split before its tasks change again.
func (s *State) RequestSplit(j *statecache.Job) {
	s.splitRequests[j.Record.Spec.UID] = j.Record.Generation + 1
}

// CancelSplitRequest removes the request to split a job's records.
func (s *State) CancelSplitRequest(uid string) { delete(s.splitRequests, uid) }

// SplitRequests returns the jobs whose records are to be split, in order. It removes requests that
// were carried out or whose jobs have finished.
func (s *State) SplitRequests() []string {
	maps.DeleteFunc(s.splitRequests, func(uid string, _ int) bool {
		j := s.cache.Jobs[uid]
		return j == nil || !s.splitRequested(j)
	})
	return slices.Sorted(maps.Keys(s.splitRequests))
}

// splitRequested reports whether a split of the job's current records is requested.
func (s *State) splitRequested(j *statecache.Job) bool {
	return s.splitRequests[j.Record.Spec.UID] == j.Record.Generation+1
}

// TasksBlocked reports whether changes to a job's tasks are blocked because its records are being
// split or have to be split before they can grow (see internal/splitter).
func (s *State) TasksBlocked(j *statecache.Job) bool { return j.Record.Frozen || s.splitRequested(j) }
