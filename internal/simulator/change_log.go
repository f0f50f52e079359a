package simulator

import (
	"cmp"
	"slices"
	"strings"

	"violetturn/internal/store"
)

// HistoryLength is how many changes the state service keeps for those who watch (PROTOCOL).
const HistoryLength = 10_000

// note adds a change to the log. The oldest changes are dropped from time to time, so the
// log may hold more than History.
func (s *Store) note(c store.Change) {
	s.log = append(s.log, c)
	if len(s.log) >= 2*HistoryLength {
		s.log = slices.Clone(s.log[len(s.log)-HistoryLength:])
	}
}

// inHistory reports whether all changes after a revision are still in the log.
func (s *Store) inHistory(since uint64) bool {
	n := len(s.log)
	return n <= HistoryLength || since >= s.log[n-HistoryLength-1].Version
}

// changes returns the changes after a revision to keys with a prefix, and the revision, or
// store.ErrChangesUnavailable.
func (s *Store) changes(prefix string, since uint64) ([]store.Change, uint64, error) {
	if !s.inHistory(since) {
		return nil, 0, store.ErrChangesUnavailable
	}
	from, _ := slices.BinarySearchFunc(s.log, since+1, func(c store.Change, version uint64) int {
		return cmp.Compare(c.Version, version)
	})
	var out []store.Change
	for _, c := range s.log[from:] {
		if strings.HasPrefix(c.WrittenKey+c.DeletedKey, prefix) {
			out = append(out, c)
		}
	}
	return out, s.revision, nil
}

// ExpireHistory makes so many changes that none from before is kept.
func (s *Store) ExpireHistory() {
	for range HistoryLength + 1 {
		s.revision++
		s.note(store.Change{DeletedKey: "aged", Version: s.revision})
	}
}
