package shard

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"violetturn/internal/sched"
)

// FreeCapacity is the room of machines by name. Its recorded form names each amount
// once with all the machines that have it: a shard of hundreds of machines has
// to fit one value of the state service.
type FreeCapacity map[string]sched.Resources

// capacityGroup is the recorded form of the machines with the same room.
type capacityGroup struct {
	Room  sched.Resources `json:"r"`
	Hosts []string        `json:"h"`
}

// MarshalJSON implements json.Marshaler. The form is the same for equal values: groups and
// machines are in the order of the machines' names.
func (f FreeCapacity) MarshalJSON() ([]byte, error) {
	at := map[sched.Resources]int{}
	groups := []capacityGroup{}
	for _, host := range slices.Sorted(maps.Keys(f)) {
		room := f[host]
		i, ok := at[room]
		if !ok {
			i = len(groups)
			at[room] = i
			groups = append(groups, capacityGroup{Room: room})
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
			(*f)[host] = g.Room
		}
	}
	return nil
}
