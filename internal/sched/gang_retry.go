package sched

import "time"

// GangRetry is the retry state of a gang that waits for capacity, after Algorithm 2 of the paper
// (see internal/scheduler). A gang may hold claims on capacity for some of its tasks; none of its
// tasks starts until capacity for all of them is claimed. A miss is a search that finds too little
// capacity for the rest. After too many misses in a row the gang releases all its claims and starts
// over, ahead of newer gangs.
type GangRetry struct {
	MaxMisses         int           // misses in a row that are allowed before the claims are released
	MissInterval      time.Duration // time after a miss during which further misses do not count
	HasReleasedClaims bool          // the gang has released its claims and precedes newer gangs

	consecutiveMisses  int
	ignoreMissesBefore time.Time
}

// The initial values of MaxMisses and MissInterval, from docs/design.md.
const (
	InitialMissInterval = time.Second
	InitialMaxMisses    = 3
)

// NewGangRetry returns the state of a gang that has not searched for capacity yet.
func NewGangRetry() *GangRetry {
	return &GangRetry{MaxMisses: InitialMaxMisses, MissInterval: InitialMissInterval}
}

// RecordClaim records that the gang claimed capacity, which ends the sequence of misses.
func (g *GangRetry) RecordClaim() { g.consecutiveMisses, g.ignoreMissesBefore = 0, time.Time{} }

// RecordMiss records that a gang that holds claims found too little capacity. It reports whether the
// gang must release all its claims. Misses within MissInterval after a counted one are ignored.
func (g *GangRetry) RecordMiss(now time.Time) (release bool) {
	if now.Before(g.ignoreMissesBefore) {
		return false
	}
	g.consecutiveMisses++
	g.ignoreMissesBefore = now.Add(g.MissInterval)
	if g.consecutiveMisses <= g.MaxMisses {
		return false
	}
	g.consecutiveMisses, g.HasReleasedClaims = 0, true
	return true
}
