package schema

import (
	"maps"
	"slices"

	"violetturn/internal/config"
	"violetturn/internal/statecache"
)

// minTxnOps is how many changes the longest step that can't be divided takes: a placement
// with its shard's record and its team's.
const minTxnOps = 4

// valueSlackBytes is what a value keeps free, for what its service may count beyond the
// JSON that is sent.
const valueSlackBytes = 32

// bytesPerKB are the bytes of the unit in which the settings give sizes.
const bytesPerKB = 1024

// TransactionLimits returns the limits within which records and transactions are made: those
// that hold whatever the state service's become. Records that the version before made larger
// are kept at their size while it may still write them, and split afterwards.
func (s *State) TransactionLimits() config.StateLimits {
	limits := s.node.Settings.LowestLimits()
	if s.acceptedTxnOps > 0 {
		limits.TxnOps = min(limits.TxnOps, s.acceptedTxnOps)
	}
	return limits
}

// MaxChanges returns how many changes a transaction may have now: what the budget holds, so
// that one of many changes does not keep others waiting for as long as it takes to earn
// them, and at least as many as one step needs.
func (s *State) MaxChanges() int {
	return min(s.TransactionLimits().TxnOps, max(minTxnOps, s.budget.Available()))
}

// MaxRecordBytes returns how large the record of a job may be made.
func (s *State) MaxRecordBytes() int {
	limits := s.node.Settings.LowestLimits()
	if !s.AllUpgraded() && !s.limitsLowered {
		limits = s.node.Settings.Facts.State.StateLimits
	}
	return int(limits.ValueKB*bytesPerKB) - valueSlackBytes
}

// MaxGrowableBytes returns how many bytes of a value records may use that grow later: seven
// eighths.
func (s *State) MaxGrowableBytes() int {
	return growingValueBytes(s.node.Settings.LowestLimits().ValueKB)
}

// MaxPageBytes is MaxValueBytes for pages of machines, which the version before makes of
// today's size.
func (s *State) MaxPageBytes() int {
	if s.fitsLowestLimits() {
		return s.MaxGrowableBytes()
	}
	return growingValueBytes(s.node.Settings.Facts.State.ValueKB)
}

func growingValueBytes(valueKB float64) int { return int(valueKB * bytesPerKB * 7 / 8) }

// fitsLowestLimits reports whether pages are made for the coming limits: no controller of
// the version before has to find them by their names, or they are in force.
func (s *State) fitsLowestLimits() bool { return s.AllUpgraded() || s.limitsLowered }

// LowerLimits notes that the state service refused what was larger than its coming limits.
// It reports whether that is news.
func (s *State) LowerLimits() bool {
	if s.limitsLowered {
		return false
	}
	s.limitsLowered = true
	return true
}

// ReduceMaxChanges notes that the state service refused so many changes though they were within
// the announced limits: fewer are tried, down to what the longest step needs.
func (s *State) ReduceMaxChanges(changes int) { s.acceptedTxnOps = max(changes-1, minTxnOps) }

// RequestSplit has a job's records split before its tasks change again.
func (s *State) RequestSplit(j *statecache.Job) {
	s.splitRequests[j.Record.Spec.UID] = j.Record.Generation + 1
}

// CancelSplitRequest drops the request to split a job's records.
func (s *State) CancelSplitRequest(uid string) { delete(s.splitRequests, uid) }

// SplitRequests returns the jobs whose records are to be split, in order. Requests that were
// carried out, or whose jobs are over, are dropped.
func (s *State) SplitRequests() []string {
	maps.DeleteFunc(s.splitRequests, func(uid string, _ int) bool {
		j := s.cache.Jobs[uid]
		return j == nil || !s.splitRequested(j)
	})
	return slices.Sorted(maps.Keys(s.splitRequests))
}

// splitRequested reports whether a job's records are to be split.
func (s *State) splitRequested(j *statecache.Job) bool {
	return s.splitRequests[j.Record.Spec.UID] == j.Record.Generation+1
}

// TasksBlocked reports whether a job's tasks may not change now: its records are being split, or
// have to be before they can grow (see internal/splitter).
func (s *State) TasksBlocked(j *statecache.Job) bool { return j.Record.Frozen || s.splitRequested(j) }
