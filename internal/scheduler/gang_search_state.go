package scheduler

import (
	"time"

	"violetturn/internal/sched"
)

// gangTable is the state that this controller keeps for gangs in addition to their records. A gang
// that is marked for release of its claims also has a search state; its next update clears the mark.
// The lock of internal/state guards it.
type gangTable struct {
	searchStates map[string]*gangSearchState
	toRelease    map[string]bool // gangs whose claims are to be released
}

// gangSearchState is the state of a gang's search for capacity from one plan to the next.
type gangSearchState struct {
	retry               *sched.GangRetry
	lastImmediateSearch time.Time // time of the last plan for the gang between regular decisions
}

func newGangTable() gangTable {
	return gangTable{searchStates: map[string]*gangSearchState{}, toRelease: map[string]bool{}}
}

// searchState returns the state of a gang's search for capacity, which it creates at the first call.
func (t *gangTable) searchState(uid string) *gangSearchState {
	state := t.searchStates[uid]
	if state == nil {
		state = &gangSearchState{retry: sched.NewGangRetry()}
		t.searchStates[uid] = state
	}
	return state
}

// consumeRelease reports whether a gang is marked for release of its claims, and clears the mark.
func (t *gangTable) consumeRelease(uid string) bool {
	release := t.toRelease[uid]
	delete(t.toRelease, uid)
	return release
}

// removeExcept removes all entries but those of the gangs to keep.
func (t *gangTable) removeExcept(keep func(uid string) bool) {
	for uid := range t.searchStates {
		if !keep(uid) {
			delete(t.searchStates, uid)
			delete(t.toRelease, uid)
		}
	}
}

// HasReleasedClaims reports whether a gang has released its claims and restarted its search for
// capacity. Such a gang is placed before newer ones.
func (s *Scheduler) HasReleasedClaims(uid string) bool {
	state := s.gangs.searchStates[uid]
	return state != nil && state.retry.HasReleasedClaims
}

// RecordGangClaimed records that capacity was claimed for a gang, which resets its count of misses.
func (s *Scheduler) RecordGangClaimed(uid string) { s.gangs.searchState(uid).retry.RecordClaim() }

// AllowImmediateSearch reports whether a gang is to be planned now, between regular decisions, and
// records the time if so. It does so at most once per minInterval for each gang.
func (s *Scheduler) AllowImmediateSearch(uid string, now time.Time, minInterval time.Duration) bool {
	state := s.gangs.searchState(uid)
	if now.Sub(state.lastImmediateSearch) <= minInterval {
		return false
	}
	state.lastImmediateSearch = now
	return true
}
