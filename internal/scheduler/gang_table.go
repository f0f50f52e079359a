package scheduler

import (
	"time"

	"violetturn/internal/sched"
)

// gangTable is what this controller remembers of gangs besides their records. A gang whose
// claims are to be released has a search too, and loses the mark with its next update. The
// lock of internal/state guards it.
type gangTable struct {
	searches  map[string]*gangRetry
	toRelease map[string]bool // gangs whose claims are to be released
}

// gangRetry is how a gang's search for room goes from plan to plan.
type gangRetry struct {
	retry           *sched.GangRetry
	lookedOutOfTurn time.Time // when room was last looked for out of turn
}

func newGangTable() gangTable {
	return gangTable{searches: map[string]*gangRetry{}, toRelease: map[string]bool{}}
}

// search returns the state of a gang's search for room, a new one if it has none.
func (t *gangTable) search(uid string) *gangRetry {
	search := t.searches[uid]
	if search == nil {
		search = &gangRetry{retry: sched.NewGangRetry()}
		t.searches[uid] = search
	}
	return search
}

// consumeRelease reports whether a gang's claims are to be released, and clears the mark.
func (t *gangTable) consumeRelease(uid string) bool {
	release := t.toRelease[uid]
	delete(t.toRelease, uid)
	return release
}

// dropExcept drops the entries of gangs that are not to be kept.
func (t *gangTable) dropExcept(keep func(uid string) bool) {
	for uid := range t.searches {
		if !keep(uid) {
			delete(t.searches, uid)
			delete(t.toRelease, uid)
		}
	}
}

// HasReleasedClaims reports whether a gang has released its claims and begun its search for
// room again: it goes before newer ones.
func (s *Scheduler) HasReleasedClaims(uid string) bool {
	search := s.gangs.searches[uid]
	return search != nil && search.retry.HasReleasedClaims
}

// RecordGangClaimed notes that room was claimed for a gang: the misses before no longer count.
func (s *Scheduler) RecordGangClaimed(uid string) { s.gangs.search(uid).retry.RecordClaim() }

// AllowImmediateSearch reports whether room for a gang is to be looked for now, between the regular
// decisions, and notes that it is. It is not so again until the pause is over.
func (s *Scheduler) AllowImmediateSearch(uid string, now time.Time, pause time.Duration) bool {
	search := s.gangs.search(uid)
	if now.Sub(search.lookedOutOfTurn) <= pause {
		return false
	}
	search.lookedOutOfTurn = now
	return true
}
