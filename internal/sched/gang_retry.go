package sched

import "time"

// GangRetry is the retry state of a gang that looks for room, after Algorithm 2 of the paper:
// it claims what the shards have, up to what is missing, sleeps after it found them empty, and
// after too many misses in a row releases all its claims and begins again, before newer gangs.
// It starts nothing until room for all tasks is claimed.
type GangRetry struct {
	MaxMisses         int           // misses in a row that are borne
	RetryDelay        time.Duration // after each miss
	HasReleasedClaims bool          // it has begun again: it goes before newer ones

	consecutiveMisses int
	sleepUntil        time.Time
}

// The values that docs/design.md begins with.
const (
	InitialRetryDelay = time.Second
	InitialMaxMisses  = 3
)

// NewGangRetry returns the state of a gang that has not looked for room.
func NewGangRetry() *GangRetry {
	return &GangRetry{MaxMisses: InitialMaxMisses, RetryDelay: InitialRetryDelay}
}

// RecordClaim records that room was claimed.
func (g *GangRetry) RecordClaim() { g.consecutiveMisses, g.sleepUntil = 0, time.Time{} }

// RecordMiss records that the gang, while it holds claims, found too little room. It reports
// whether all its claims are to be released. A miss while it sleeps does not count.
func (g *GangRetry) RecordMiss(now time.Time) (release bool) {
	if now.Before(g.sleepUntil) {
		return false
	}
	g.consecutiveMisses++
	g.sleepUntil = now.Add(g.RetryDelay)
	if g.consecutiveMisses <= g.MaxMisses {
		return false
	}
	g.consecutiveMisses, g.HasReleasedClaims = 0, true
	return true
}
