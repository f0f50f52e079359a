package schema

import (
	"maps"
	"slices"

	"violetturn/internal/config"
	"violetturn/internal/node"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// WriteBudget tells how many changes may be sent to the state service now.
type WriteBudget interface {
	Available() int
}

// State is which forms of records may be written, and how large.
type State struct {
	node   *node.Info
	cache  *statecache.Cache
	budget WriteBudget

	LimitsLowered  bool           // the state service has refused what was larger than its coming limits
	AcceptedTxnOps int            // changes in a transaction that it took, fewer than announced; 0: as announced
	SplitRequests  map[string]int // jobs with a record that outgrew a value: their generation then, from 1 on
}

// New returns the state of a node that has been refused nothing yet.
func New(node *node.Info, cache *statecache.Cache, budget WriteBudget) *State {
	return &State{node: node, cache: cache, budget: budget, SplitRequests: map[string]int{}}
}

// MaxValueBytes is how many bytes of a value records may use.
func (s *State) MaxValueBytes() int {
	return int(s.node.Settings.LowestLimits().ValueKB * 1024 * 7 / 8)
}

// MaxPageBytes is the same for pages, which the version before makes of today's size.
func (s *State) MaxPageBytes() int {
	if s.Upgraded() || s.LimitsLowered {
		return s.MaxValueBytes()
	}
	return int(s.node.Settings.Facts.State.ValueKB * 1024 * 7 / 8)
}

// FeatureEnabled reports whether a feature is on: here, and at every configured controller, living
// or not, as its mark says. One that shows itself without it, because it was started without
// or is of a version that doesn't know it, has it off everywhere.
func (s *State) FeatureEnabled(name string) bool {
	if !slices.Contains(s.node.Features.Names(), name) {
		return false
	}
	for _, x := range s.node.Shards {
		mark, node := s.cache.Capabilities[x].Record, s.cache.Nodes[x].Record
		if mark == nil || !slices.Contains(mark.Features, name) || node != nil && !slices.Contains(node.Features, name) {
			return false
		}
	}
	return s.Upgraded()
}

// Records that the version before made for larger values can't be rewritten once the
// limits have come down. So a job's tasks are divided into smaller task ranges, in steps
// each of which is safe alone:
//
//  1. A job whose tasks have records of their own is frozen by a write of its main
//     record. Every placement and every end is committed under a precondition on that
//     record, so those on their way fail and no new ones are made. (A job whose tasks
//     are inside its main record needs no such step: its version covers them.)
//  2. The small task ranges are written under keys of the next generation, which nobody
//     reads yet, each under a precondition on the main record and on what it was copied
//     from. One whose version is above both was copied from what there is.
//  3. One write of the main record makes them the job's task ranges.
//
// What was written by a late transaction after the first step changes only records
// that no longer count. The old records are dropped when there is time.

// IsBlocked reports whether a job's tasks may not change now: it is being divided, or has
// to be before its records can grow.
func (s *State) IsBlocked(j *statecache.Job) bool {
	return j.Record.Frozen || s.SplitRequests[j.Record.Spec.UID] == j.Record.Generation+1
}

// Version is the newest form of records that this version reads and writes. The version
// before it says nothing of forms and loses what it doesn't know when it rewrites a
// record, so all forms that it doesn't know are decided here: nothing else asks who
// may read what.
const Version = 2

// Upgraded reports whether every configured controller, living or not, has shown that
// it reads this version's forms. Each leaves a mark that outlives it, so that one
// alone after the end of all still knows; one that shows itself without (somebody
// went back to the version before) counts as not upgraded whatever its mark says.
func (s *State) Upgraded() bool {
	for _, x := range s.node.Shards {
		m, n := s.cache.Capabilities[x].Record, s.cache.Nodes[x].Record
		if m == nil || m.SchemaVersion < Version || n != nil && n.SchemaVersion < Version {
			return false
		}
	}
	return s.cache.Loaded
}

// IsDowngraded reports whether a node is of the version before although all had been
// upgraded: it would lose what it doesn't know, so nothing is handed to it.
func (s *State) IsDowngraded(node string) bool {
	n := s.cache.Nodes[node].Record
	if n == nil || n.SchemaVersion >= Version {
		return false
	}
	for _, x := range s.node.Shards {
		if m := s.cache.Capabilities[x].Record; m == nil || m.SchemaVersion < Version {
			return false
		}
	}
	return true
}

// TransactionLimits are those within which records and transactions are made: those that hold
// whatever the state service's become. Records that the version before made larger
// are kept at their size while it may still write them, and divided afterwards.
func (s *State) TransactionLimits() config.StateLimits {
	l := s.node.Settings.LowestLimits()
	if s.AcceptedTxnOps > 0 {
		l.TxnOps = min(l.TxnOps, s.AcceptedTxnOps)
	}
	return l
}

// valueSlackBytes is what a value keeps free, for what its service may count beyond the
// JSON that is sent.
const valueSlackBytes = 32

// MaxRecordBytes is how large the record of a job may be made.
func (s *State) MaxRecordBytes() int {
	l := s.node.Settings.LowestLimits()
	if !s.Upgraded() && !s.LimitsLowered {
		l = s.node.Settings.Facts.State.StateLimits
	}
	return int(l.ValueKB*1024) - valueSlackBytes
}

// PageFor names the page of a machine to be written. The version before works the
// name out from today's limit.
func (s *State) PageFor(host string) string {
	const bytes = 160 // of one machine at most
	l := s.node.Settings.Facts.State.StateLimits
	if s.Upgraded() || s.LimitsLowered {
		l = s.node.Settings.LowestLimits()
	}
	if l.ValueKB*1024 >= 100*bytes {
		return statecache.PageID(host, statecache.CoarsestPageCut)
	}
	return statecache.PageID(host, 1)
}

// OpenPage returns a copy of a machine's page to be changed and makes the write conditional on what it rests
// on. A fine page that is new takes over what a coarser one has of its machines: from
// then on it alone counts for them.
func (s *State) OpenPage(t *statecache.Transaction, host string) (string, shard.Page) {
	id := s.PageFor(host)
	t.Require(statecache.MachinePageKey(id), s.cache.Pages[id].Version)
	page := shard.Page{}
	if old := s.cache.Pages[id].Record; old != nil {
		maps.Copy(page, *old)
		return id, page
	}
	if id == statecache.PageID(host, statecache.CoarsestPageCut) {
		return id, page
	}
	if above := s.cache.Pages[statecache.PageID(host, statecache.CoarsestPageCut)]; above.Record != nil {
		t.Require(statecache.MachinePageKey(statecache.PageID(host, statecache.CoarsestPageCut)), above.Version)
		for h, m := range *above.Record {
			if statecache.PageID(h, 1) == id {
				page[h] = m
			}
		}
	}
	return id, page
}

// ClosePage writes a page, or drops an empty one, unless a coarser one would speak
// for its machines again.
func (s *State) ClosePage(t *statecache.Transaction, id string, page shard.Page) {
	if len(page) == 0 {
		hides := false
		if len(id) > 2 {
			key := id[:len(id)-2] + "-"
			if above := s.cache.Pages[key]; above.Record != nil && key != id {
				t.Require(statecache.MachinePageKey(key), above.Version)
				for h := range *above.Record {
					hides = hides || statecache.PageID(h, 1) == id
				}
			}
		}
		if !hides {
			t.Delete(statecache.MachinePageKey(id))
			return
		}
	}
	t.Put(statecache.MachinePageKey(id), page)
}

// DeleteObsoletePage adds to a transaction the drop of a page that says nothing more: a coarse
// one all of whose machines finer pages speak for, or an empty one that hid one. It
// tells whether there was one.
func (s *State) DeleteObsoletePage(t *statecache.Transaction) bool {
	for id, p := range s.cache.Pages {
		over := true
		for h := range *p.Record {
			over = over && id == statecache.PageID(h, statecache.CoarsestPageCut) && s.cache.Pages[statecache.PageID(h, 1)].Record != nil
		}
		if len(*p.Record) == 0 && len(id) > 2 {
			above := id[:len(id)-2] + "-"
			t.Require(statecache.MachinePageKey(above), 0)
			over = s.cache.Pages[above].Record == nil
		}
		if over {
			t.Require(statecache.MachinePageKey(id), p.Version)
			t.Delete(statecache.MachinePageKey(id))
			return true
		}
		t.ClearPreconditions()
	}
	return false
}
