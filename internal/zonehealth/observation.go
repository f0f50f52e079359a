package zonehealth

import (
	"slices"

	"violetturn/internal/sched"
)

// Demand is production work that waits for lost machines of the zone: a number of tasks of the same
// size.
type Demand struct {
	Need  sched.Resources `json:"r"`
	Spot  bool            `json:"l,omitempty"`
	Tasks int             `json:"n"`
}

// Observation is what the leader of a shard observes of the shard's machines in the zone.
type Observation struct {
	Healthy           int      `json:"u"`
	Lost              int      `json:"x"`
	Unclear           int      `json:"c,omitempty"` // no heartbeat received yet by a new leader
	RentalsRefused    bool     `json:"f,omitempty"` // the cloud refuses rentals there
	WaitingProduction []Demand `json:"w,omitempty"`
}

// Equal reports whether two observations are equal.
func (o Observation) Equal(other Observation) bool {
	return o.Healthy == other.Healthy && o.Lost == other.Lost && o.Unclear == other.Unclear &&
		o.RentalsRefused == other.RentalsRefused && slices.Equal(o.WaitingProduction, other.WaitingProduction)
}

// LostShare returns the share of the machines that are lost, not counting unclear ones.
func (o Observation) LostShare() float64 {
	if o.Lost == 0 {
		return 0
	}
	return float64(o.Lost) / float64(o.Healthy+o.Lost)
}

// IsEmpty reports whether the shard has no machines in the zone and no waiting production work.
func (o Observation) IsEmpty() bool {
	return o.Healthy+o.Lost+o.Unclear == 0 && len(o.WaitingProduction) == 0
}
