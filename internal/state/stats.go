package state

import "time"

// CommitStats counts the transactions of one purpose.
type CommitStats struct {
	Transactions     int
	Writes           int // records written or deleted by these transactions
	Conflicts        int // transactions whose preconditions did not hold
	ConflictedWrites int // records in transactions whose preconditions did not hold
	Failed           int // transactions that were refused or whose outcome is unknown
}

// Stats counts transactions by purpose since the last summary in the log.
type Stats struct {
	Commits        map[string]CommitStats
	DeregisteredAt time.Time // when machines were last deregistered
}

// CountCommitted counts a committed transaction with the given number of writes.
func (s *Stats) CountCommitted(purpose string, writes int) { s.count(purpose, writes, CommitStats{}) }

// CountConflict counts a transaction whose preconditions did not hold.
func (s *Stats) CountConflict(purpose string, writes int) {
	s.count(purpose, writes, CommitStats{Conflicts: 1, ConflictedWrites: writes})
}

// CountFailed counts a transaction that was refused or whose outcome is unknown.
func (s *Stats) CountFailed(purpose string, writes int) {
	s.count(purpose, writes, CommitStats{Failed: 1})
}

// count adds a transaction with the given number of writes and the counts of its outcome.
func (s *Stats) count(purpose string, writes int, outcome CommitStats) {
	sum := s.Commits[purpose]
	sum.Transactions++
	sum.Writes += writes
	sum.Conflicts += outcome.Conflicts
	sum.ConflictedWrites += outcome.ConflictedWrites
	sum.Failed += outcome.Failed
	s.Commits[purpose] = sum
}
