package sched

import "time"

// GangRetry is the retry state of a gang that waits for capacity, after Algorithm 2 of the paper. The
// gang claims free capacity in the shards, up to what it still lacks, and delays its next attempt
// when it found none. After too many misses in a row it releases all its claims and starts over,
// ahead of newer gangs. None of its tasks starts until capacity for all of them is claimed.
type GangRetry struct {
	MaxMisses         int           // misses in a row that are allowed before the claims are released
	MissInterval      time.Duration // delay after each miss
	HasReleasedClaims bool          // the gang has released its claims and started over, so it precedes newer gangs

	consecutiveMisses int
	delayedUntil      time.Time
}

// The initial values, as docs/design.md gives them.
const (
	InitialMissInterval = time.Second
	InitialMaxMisses    = 3
)

// NewGangRetry returns the state of a gang that has not searched for capacity yet.
func NewGangRetry() *GangRetry {
	return &GangRetry{MaxMisses: InitialMaxMisses, MissInterval: InitialMissInterval}
}

// RecordClaim records that the gang claimed capacity: it resets the misses and the delay.
func (g *GangRetry) RecordClaim() { g.consecutiveMisses, g.delayedUntil = 0, time.Time{} }

// RecordMiss records that a gang that holds claims found too little capacity. It reports whether the
// gang must release all its claims. Misses during the delay after a miss do not count.
func (g *GangRetry) RecordMiss(now time.Time) (release bool) {
	if now.Before(g.delayedUntil) {
		return false
	}
	g.consecutiveMisses++
	g.delayedUntil = now.Add(g.MissInterval)
	if g.consecutiveMisses <= g.MaxMisses {
		return false
	}
	g.consecutiveMisses, g.HasReleasedClaims = 0, true
	return true
}
