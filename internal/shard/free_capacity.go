package shard

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"violetturn/internal/sched"
)

// FreeCapacity holds the free capacity of machines by machine name. Its encoding has each distinct
// amount once, with the names of all machines that have it, so that a shard of hundreds of machines
// fits into one value of the state service.
type FreeCapacity map[string]sched.Resources

// capacityGroup is the encoding of the machines with the same free capacity.
type capacityGroup struct {
	Free  sched.Resources `json:"r"`
	Hosts []string        `json:"h"`
}

// MarshalJSON implements json.Marshaler. Equal values have the same encoding: machines are sorted
// by name, and groups by the name of their first machine.
func (f FreeCapacity) MarshalJSON() ([]byte, error) {
	groupIndexes := map[sched.Resources]int{}
	groups := []capacityGroup{}
	for _, host := range slices.Sorted(maps.Keys(f)) {
		free := f[host]
		i, ok := groupIndexes[free]
		if !ok {
			i = len(groups)
			groupIndexes[free] = i
			groups = append(groups, capacityGroup{Free: free})
		}
		groups[i].Hosts = append(groups[i].Hosts, host)
	}
	return json.Marshal(groups)
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *FreeCapacity) UnmarshalJSON(b []byte) error {
	var groups []capacityGroup
	if err := json.Unmarshal(b, &groups); err != nil {
		return fmt.Errorf("decoding free capacity: %w", err)
	}
	*f = FreeCapacity{}
	for _, g := range groups {
		for _, host := range g.Hosts {
			(*f)[host] = g.Free
		}
	}
	return nil
}
