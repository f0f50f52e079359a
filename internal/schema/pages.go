package schema

import (
	"maps"

	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Bytes of one machine in a page at most, and for how many machines a value has to have room
// so that pages leave out two characters of their names.
const (
	machineBytes       = 160
	coarsePageMachines = 100
)

// PageIDFor returns the name of the page of a machine to be written. The version before works
// the name out from today's limits.
func (s *State) PageIDFor(host string) string {
	limits := s.node.Settings.Facts.State.StateLimits
	if s.fitsLowestLimits() {
		limits = s.node.Settings.LowestLimits()
	}
	if limits.ValueKB*bytesPerKB >= coarsePageMachines*machineBytes {
		return statecache.PageID(host, statecache.CoarsestPageSuffixLen)
	}
	return statecache.PageID(host, statecache.FinestPageSuffixLen)
}

// EditPage returns the name and a copy of a machine's page to be changed, and makes the
// transaction conditional on what the copy rests on. A fine page that is new takes over what
// a coarser one has of its machines: from then on it alone counts for them.
func (s *State) EditPage(txn *statecache.Transaction, host string) (id string, page shard.MachinePage) {
	id = s.PageIDFor(host)
	txn.Require(statecache.MachinePageKey(id), s.cache.Pages[id].Version)
	page = shard.MachinePage{}
	if recorded := s.cache.Pages[id].Record; recorded != nil {
		maps.Copy(page, *recorded)
		return id, page
	}
	coarsest := statecache.PageID(host, statecache.CoarsestPageSuffixLen)
	coarser := s.cache.Pages[coarsest]
	if id == coarsest || coarser.Record == nil {
		return id, page
	}
	txn.Require(statecache.MachinePageKey(coarsest), coarser.Version)
	for name, machine := range *coarser.Record {
		if statecache.PageID(name, statecache.FinestPageSuffixLen) == id {
			page[name] = machine
		}
	}
	return id, page
}

// PutPage writes a page, or drops an empty one, unless a coarser one would speak for its
// machines again.
func (s *State) PutPage(txn *statecache.Transaction, id string, page shard.MachinePage) {
	if len(page) == 0 && !s.hidesCoarser(txn, id) {
		txn.Delete(statecache.MachinePageKey(id))
		return
	}
	txn.Put(statecache.MachinePageKey(id), page)
}

// hidesCoarser reports whether a page stands for machines that a coarser one names, and makes
// the transaction conditional on that coarser one.
func (s *State) hidesCoarser(txn *statecache.Transaction, id string) bool {
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

// DeleteObsoletePage adds to an empty transaction the delete of a page that says nothing
// more: a coarse one all of whose machines finer pages speak for, or an empty one that hid
// one. It reports whether there was one.
func (s *State) DeleteObsoletePage(txn *statecache.Transaction) bool {
	for id, page := range s.cache.Pages {
		obsolete := s.isHidden(id, *page.Record)
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

// isHidden reports whether finer pages speak for all machines of a page.
func (s *State) isHidden(id string, page shard.MachinePage) bool {
	for host := range page {
		finer := statecache.PageID(host, statecache.FinestPageSuffixLen)
		if id != statecache.PageID(host, statecache.CoarsestPageSuffixLen) || s.cache.Pages[finer].Record == nil {
			return false
		}
	}
	return true
}
