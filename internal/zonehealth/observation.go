package zonehealth

import (
	"slices"

	"violetturn/internal/sched"
)

// Demand is production work that waits for lost machines of the zone: a number of tasks of one
// size.
type Demand struct {
	Need  sched.Resources `json:"r"`
	Spot  bool            `json:"l,omitempty"`
	Tasks int             `json:"n"`
}

// Observation is what the leader of a shard observes of its machines in the zone.
type Observation struct {
	Healthy           int      `json:"u"`
	Lost              int      `json:"x"`
	Unclear           int      `json:"c,omitempty"` // a new leader has not heard from them yet
	RentalsRefused    bool     `json:"f,omitempty"` // the cloud rents nothing there
	WaitingProduction []Demand `json:"w,omitempty"`
}

// Equal reports whether two observations say the same.
func (o Observation) Equal(other Observation) bool {
	return o.Healthy == other.Healthy && o.Lost == other.Lost && o.Unclear == other.Unclear && o.RentalsRefused == other.RentalsRefused &&
		slices.Equal(o.WaitingProduction, other.WaitingProduction)
}

// LostShare returns the share of the machines that are lost, the unclear ones aside.
func (o Observation) LostShare() float64 {
	if o.Lost == 0 {
		return 0
	}
	return float64(o.Lost) / float64(o.Healthy+o.Lost)
}

// IsEmpty reports whether the shard has no machines in the zone and no demand for them.
func (o Observation) IsEmpty() bool {
	return o.Healthy+o.Lost+o.Unclear == 0 && len(o.WaitingProduction) == 0
}
