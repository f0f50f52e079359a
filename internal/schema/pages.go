package schema

import (
	"maps"

	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Limits that determine how long the name prefix of a machine page is (see statecache.PageID).
const (
	maxMachineBytes    = 160 // maximum size of one machine in a page
	coarsePageMachines = 100 // pages are coarse if a value can hold at least this many machines
)

// PageIDFor returns the ID of the page to which a machine's record is written. The previous version
// derives it from the current limits.
func (s *State) PageIDFor(host string) string {
	limits := s.node.Settings.Facts.State.StateLimits
	if s.usesLowestLimits() {
		limits = s.node.Settings.LowestLimits()
	}
	if limits.ValueKB*bytesPerKB >= coarsePageMachines*maxMachineBytes {
		return statecache.PageID(host, statecache.CoarsestPageSuffixLen)
	}
	return statecache.PageID(host, statecache.FinestPageSuffixLen)
}

// CopyPage returns a copy of a machine's page, which the caller may change. A new fine page starts
// with the entries of its machines in the coarser page, and supersedes the coarser page for them once
// it is written.
func (s *State) CopyPage(host string) shard.MachinePage {
	id, page := s.PageIDFor(host), shard.MachinePage{}
	if recorded := s.cache.Pages[id].Record; recorded != nil {
		maps.Copy(page, *recorded)
		return page
	}
	if coarser := s.coarserPage(host); coarser.Record != nil {
		for name, machine := range *coarser.Record {
			if statecache.PageID(name, statecache.FinestPageSuffixLen) == id {
				page[name] = machine
			}
		}
	}
	return page
}

// RequirePage adds preconditions on the versions that a copy of a machine's page is based on.
func (s *State) RequirePage(txn *statecache.Transaction, host string) {
	id := s.PageIDFor(host)
	txn.Require(statecache.MachinePageKey(id), s.cache.Pages[id].Version)
	if coarser := s.coarserPage(host); coarser.Record != nil && s.cache.Pages[id].Record == nil {
		txn.Require(statecache.MachinePageKey(statecache.PageID(host, statecache.CoarsestPageSuffixLen)), coarser.Version)
	}
}

// coarserPage returns the coarsest page of a machine if the machine's own page is a finer one, else no
// page.
func (s *State) coarserPage(host string) statecache.Versioned[shard.MachinePage] {
	coarsest := statecache.PageID(host, statecache.CoarsestPageSuffixLen)
	if s.PageIDFor(host) == coarsest {
		return statecache.Versioned[shard.MachinePage]{}
	}
	return s.cache.Pages[coarsest]
}

// PutPage adds a write of the page to the transaction. It deletes an empty page, unless a coarser
// page still has entries for its machines, which would become valid again.
func (s *State) PutPage(txn *statecache.Transaction, id string, page shard.MachinePage) {
	if len(page) == 0 && !s.supersedesCoarserPage(txn, id) {
		txn.Delete(statecache.MachinePageKey(id))
		return
	}
	txn.Put(statecache.MachinePageKey(id), page)
}

// supersedesCoarserPage reports whether a coarser page has entries for machines of this page. If
// there is a coarser page, it adds a precondition on it to the transaction.
func (s *State) supersedesCoarserPage(txn *statecache.Transaction, id string) bool {
	coarserID, ok := statecache.CoarserPageID(id)
	coarser := s.cache.Pages[coarserID]
	if !ok || coarser.Record == nil || coarserID == id {
		return false
	}
	txn.Require(statecache.MachinePageKey(coarserID), coarser.Version)
	for host := range *coarser.Record {
		if statecache.PageID(host, statecache.FinestPageSuffixLen) == id {
			return true
		}
	}
	return false
}

// DeleteObsoletePage adds the deletion of one obsolete page to an empty transaction, and reports
// whether there was one. A page is obsolete if finer pages supersede it for all of its machines, or
// if it is empty and has no coarser page.
func (s *State) DeleteObsoletePage(txn *statecache.Transaction) bool {
	for id, page := range s.cache.Pages {
		obsolete := s.isSuperseded(id, *page.Record)
		if coarser, ok := statecache.CoarserPageID(id); ok && len(*page.Record) == 0 {
			txn.Require(statecache.MachinePageKey(coarser), 0)
			obsolete = s.cache.Pages[coarser].Record == nil
		}
		if obsolete {
			txn.Require(statecache.MachinePageKey(id), page.Version)
			txn.Delete(statecache.MachinePageKey(id))
			return true
		}
		txn.ClearPreconditions()
	}
	return false
}

// isSuperseded reports whether finer pages supersede a page for all of its machines.
func (s *State) isSuperseded(id string, page shard.MachinePage) bool {
	for host := range page {
		finer := statecache.PageID(host, statecache.FinestPageSuffixLen)
		if id != statecache.PageID(host, statecache.CoarsestPageSuffixLen) || s.cache.Pages[finer].Record == nil {
			return false
		}
	}
	return true
}
