package statecache

import (
	"encoding/json"
	"maps"
	"slices"

	"violetturn/internal/shard"
)

// MachineIndex is the machines, by the pages that record them.
type MachineIndex struct {
	Pages        map[string]Versioned[shard.MachinePage] // by PageID
	Machines     map[string]*shard.Machine               // of all pages, by name
	PlacedImages map[string]map[string]bool              // by machine, images that tasks were put there with
	Terminated   map[string]bool                         // machines that were deregistered: their names never come back

	sorted []string // names of Machines; nil: to be sorted anew
}

func newMachineIndex() MachineIndex {
	return MachineIndex{
		Pages:        map[string]Versioned[shard.MachinePage]{},
		Machines:     map[string]*shard.Machine{},
		PlacedImages: map[string]map[string]bool{},
		Terminated:   map[string]bool{},
	}
}

// A machine's page is named by what its name has in common with its neighbours': machines
// come in groups with names in a row, so that a group is recorded with few changes. Pages
// leave out one character of the name, or two where values have room for a hundred machines.
const (
	FinestPageSuffixLen   = 1
	CoarsestPageSuffixLen = 2
)

// PageID returns the name of the page of a machine that leaves out so many characters of its
// name.
func PageID(host string, cut int) string { return host[:max(len(host)-cut, 0)] + "-" }

// CoarserPageID returns the name of the page that leaves out one character more of its
// machines' names; ok is false if there is none.
func CoarserPageID(id string) (coarser string, ok bool) {
	const shortest = 2 // a character of the name, and the dash
	if len(id) <= shortest {
		return "", false
	}
	return id[:len(id)-2] + "-", true
}

// applyPage takes in a page of machines. A finer page stands for its machines before a
// coarser one that still names them.
func (c *Cache) applyPage(id string, value json.RawMessage, version uint64) error {
	old := c.Pages[id]
	if err := applyTo(c.Pages, id, value, version); err != nil {
		return err
	}
	c.sorted = nil
	touched := map[string]bool{}
	addNames(touched, old.Record)
	addNames(touched, c.Pages[id].Record)
	if coarser, ok := CoarserPageID(id); ok { // machines that it hides there, or does no more
		addNames(touched, c.Pages[coarser].Record)
	}
	for host := range touched {
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

// updateMachine brings a machine in line with the pages.
func (c *Cache) updateMachine(host string) {
	recorded, known := c.recordedMachine(host), c.Machines[host]
	if recorded == nil {
		if known != nil {
			delete(c.Machines, host)
			delete(c.PlacedImages, host)
			c.RecordTerminated(host)
		}
		return
	}
	if known != nil && recorded.Addr == "" {
		recorded.Addr = known.Addr // learned from a heartbeat or from the cloud's list
	}
	c.Machines[host] = recorded
}

// recordedMachine returns a machine's record in the finest page that there is for it; nil if
// that page lacks it.
func (x *MachineIndex) recordedMachine(host string) *shard.Machine {
	for cut := FinestPageSuffixLen; cut <= CoarsestPageSuffixLen; cut++ {
		if page := x.Pages[PageID(host, cut)].Record; page != nil {
			return (*page)[host]
		}
	}
	return nil
}

// SetAddress notes the address of a machine that was recorded before it was known.
func (x *MachineIndex) SetAddress(host, address string) { x.Machines[host].Addr = address }

// MinTerminated is how many terminated machines are remembered at the least: names of some
// ten bytes.
const MinTerminated = 8192

// RecordTerminated remembers that a machine is gone for good, so that a late copy of a
// heartbeat does not bring it back. Beyond several times the fleet the older half is
// forgotten: late copies are of machines that went not long ago.
func (x *MachineIndex) RecordTerminated(host string) {
	if most := max(MinTerminated, 4*len(x.Machines)); len(x.Terminated) >= most {
		names := slices.Sorted(maps.Keys(x.Terminated)) // in the order of their creation
		for _, name := range names[:len(names)/2] {
			delete(x.Terminated, name)
		}
	}
	x.Terminated[host] = true
}

// MachineNames returns the names of all machines in order. Who changes the list copies it.
func (x *MachineIndex) MachineNames() []string {
	if x.sorted == nil {
		x.sorted = slices.Sorted(maps.Keys(x.Machines))
	}
	return x.sorted
}

// noteImage notes that a task with an image was put on a machine.
func (x *MachineIndex) noteImage(host, image string) {
	if x.PlacedImages[host] == nil {
		x.PlacedImages[host] = map[string]bool{}
	}
	x.PlacedImages[host][image] = true
}
