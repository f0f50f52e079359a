package simulator

import (
	"cmp"
	"slices"
	"strings"

	"violetturn/internal/store"
)

// HistoryLength is the number of recent changes that the state service keeps for watches (PROTOCOL).
const HistoryLength = 10_000

// logChange appends a change to the change log. It removes old changes only when the log has reached
// twice the length of the history, so the log may contain changes older than the history.
func (s *Store) logChange(c store.Change) {
	s.log = append(s.log, c)
	if len(s.log) >= 2*HistoryLength {
		s.log = slices.Clone(s.log[len(s.log)-HistoryLength:])
	}
}

// inHistory reports whether all changes after a revision are still in the history.
func (s *Store) inHistory(since uint64) bool {
	length := len(s.log)
	return length <= HistoryLength || since >= s.log[length-HistoryLength-1].Version
}

// changes returns the changes to keys with a prefix after a revision, and the current revision. If
// some of the changes are no longer kept, it returns store.ErrChangesUnavailable.
func (s *Store) changes(prefix string, since uint64) ([]store.Change, uint64, error) {
	if !s.inHistory(since) {
		return nil, 0, store.ErrChangesUnavailable
	}
	first, _ := slices.BinarySearchFunc(s.log, since+1, func(c store.Change, version uint64) int {
		return cmp.Compare(c.Version, version)
	})
	var matching []store.Change
	for _, c := range s.log[first:] {
		if strings.HasPrefix(c.WrittenKey+c.DeletedKey, prefix) {
			matching = append(matching, c)
		}
	}
	return matching, s.revision, nil
}

// ExpireHistory adds so many changes that all earlier ones are older than the history.
func (s *Store) ExpireHistory() {
	for range HistoryLength + 1 {
		s.revision++
		s.logChange(store.Change{DeletedKey: "aged", Version: s.revision})
	}
}
