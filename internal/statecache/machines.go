package statecache

import (
	"encoding/json"
	"maps"
	"slices"

	"violetturn/internal/shard"
)

// MachineIndex contains the machines and the pages in which they are recorded.
type MachineIndex struct {
	Pages        map[string]Versioned[shard.MachinePage] // by PageID
	Machines     map[string]*shard.Machine               // machines of all pages, by name
	PlacedImages map[string]map[string]bool              // by machine: images of the tasks that were placed on it
	Terminated   map[string]bool                         // deregistered machines; their names are never reused

	sortedNames []string // names of Machines in order; nil: not computed
}

func newMachineIndex() MachineIndex {
	return MachineIndex{
		Pages:        map[string]Versioned[shard.MachinePage]{},
		Machines:     map[string]*shard.Machine{},
		PlacedImages: map[string]map[string]bool{},
		Terminated:   map[string]bool{},
	}
}

// Number of characters at the end of a machine's name that the ID of its page lacks: one, or two if
// a value can hold a hundred machines. Machines are rented in groups with consecutive names, so that
// a group is recorded in few pages and with few writes.
const (
	FinestPageSuffixLen   = 1
	CoarsestPageSuffixLen = 2
)

// PageID returns the ID of a machine's page: the machine's name without the last suffixLen
// characters, followed by a dash.
func PageID(host string, suffixLen int) string { return host[:max(len(host)-suffixLen, 0)] + "-" }

// CoarserPageID returns the ID of the page whose machine name prefix is one character shorter; ok is
// false if there is none.
func CoarserPageID(id string) (coarser string, ok bool) {
	const shortestPageID = 2 // one character of the name, and the dash
	if len(id) <= shortestPageID {
		return "", false
	}
	return id[:len(id)-2] + "-", true
}

// applyMachinePage applies a change of a machine page. A finer page takes precedence over a coarser
// one that still has entries for its machines.
func (c *Cache) applyMachinePage(id string, value json.RawMessage, version uint64) error {
	old := c.Pages[id]
	if err := applyToMap(c.Pages, id, value, version); err != nil {
		return err
	}
	c.sortedNames = nil
	affected := map[string]bool{}
	addNames(affected, old.Record)
	addNames(affected, c.Pages[id].Record)
	if coarser, ok := CoarserPageID(id); ok { // this page now supersedes its entries, or no longer does
		addNames(affected, c.Pages[coarser].Record)
	}
	for host := range affected {
		c.updateMachine(host)
	}
	return nil
}

// addNames adds the names of a page's machines to a set.
func addNames(names map[string]bool, page *shard.MachinePage) {
	if page == nil {
		return
	}
	for host := range *page {
		names[host] = true
	}
}

// updateMachine updates a machine from the pages.
func (c *Cache) updateMachine(host string) {
	recorded, cached := c.recordedMachine(host), c.Machines[host]
	if recorded == nil {
		if cached != nil {
			delete(c.Machines, host)
			delete(c.PlacedImages, host)
			c.RecordTerminated(host)
		}
		return
	}
	if cached != nil && recorded.Addr == "" {
		recorded.Addr = cached.Addr // received in a heartbeat or in the cloud's list of machines
	}
	c.Machines[host] = recorded
}

// recordedMachine returns a machine's record in the finest existing page for it; nil if that page
// does not contain the machine.
func (x *MachineIndex) recordedMachine(host string) *shard.Machine {
	for suffixLen := FinestPageSuffixLen; suffixLen <= CoarsestPageSuffixLen; suffixLen++ {
		if page := x.Pages[PageID(host, suffixLen)].Record; page != nil {
			return (*page)[host]
		}
	}
	return nil
}

// SetAddress sets the address of a machine whose record was written before the address was known.
func (x *MachineIndex) SetAddress(host, address string) { x.Machines[host].Addr = address }

// MinTerminatedLimit is the lowest limit on the number of recorded terminated machines: names
// of some ten bytes each.
const MinTerminatedLimit = 8192

// RecordTerminated records that a machine was terminated, so that a delayed heartbeat does not
// register it again. If the terminated machines reach the limit, which is MinTerminatedLimit or
// four times the number of machines if that is more, the older half is removed: delayed heartbeats
// are from recently terminated machines.
func (x *MachineIndex) RecordTerminated(host string) {
	if limit := max(MinTerminatedLimit, 4*len(x.Machines)); len(x.Terminated) >= limit {
		names := slices.Sorted(maps.Keys(x.Terminated)) // names sort by time of creation
		for _, name := range names[:len(names)/2] {
			delete(x.Terminated, name)
		}
	}
	x.Terminated[host] = true
}

// HostNames returns the names of all machines in order. The caller must not change the slice.
func (x *MachineIndex) HostNames() []string {
	if x.sortedNames == nil {
		x.sortedNames = slices.Sorted(maps.Keys(x.Machines))
	}
	return x.sortedNames
}

// recordImage records that a task with an image was placed on a machine.
func (x *MachineIndex) recordImage(host, image string) {
	if x.PlacedImages[host] == nil {
		x.PlacedImages[host] = map[string]bool{}
	}
	x.PlacedImages[host][image] = true
}
