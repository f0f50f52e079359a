package zonehealth

import "time"

// State is the health of a zone as evaluated. The zero value counts as Healthy.
type State string

// The states of a zone. Only Down and Recovering restrict what may be placed there.
const (
	Healthy    State = "healthy"
	Suspect    State = "suspect"    // some machines are lost, possibly for reasons other than the zone
	Down       State = "down"       // most machines are lost, and those of other zones are not
	Recovering State = "recovering" // machines are returning
)

// Record is the record of a zone. The zero value is that of a healthy zone without observations.
type Record struct {
	State                 State                  `json:"s"`
	Transitions           uint64                 `json:"n"`           // number of times that the zone went down or started to recover
	SinceMS               int64                  `json:"at"`          // when the state began, Unix time in milliseconds
	LastFailedMS          int64                  `json:"f,omitempty"` // when the zone last went down, Unix time in milliseconds
	SlowStartShare        float64                `json:"w,omitempty"` // share of the zone that work below production may use at first
	MachinesBeforeFailure int                    `json:"b,omitempty"` // number of machines when it went down
	HealthyWatermark      int                    `json:"m,omitempty"` // fewest healthy machines while down, most while recovering
	Observations          map[string]Observation `json:"p,omitempty"` // by shard
}

// Limits are the thresholds and durations that govern state changes and the slow start.
type Limits struct {
	SuspectShare, DownShare       float64       // shares of lost machines from which a zone is suspect or can be down
	ConfirmAfter                  time.Duration // how long a zone must be suspect before it can be down
	InitialShare, MinInitialShare float64       // initial shares of a slow start: normal value, and minimum after repeated failures
	DoublingInterval              time.Duration // interval at which the share of the slow start doubles
	MaxStateDuration              time.Duration // maximum duration of Down and of Recovering
}

// RestrictsPlacement reports whether the state restricts what may be placed in the zone.
func (r *Record) RestrictsPlacement() bool { return r.State == Down || r.State == Recovering }

// WithObservation returns a copy of the record with the current observation of a shard's leader.
func (r *Record) WithObservation(shard string, observation Observation) Record {
	next := *r
	next.Observations = make(map[string]Observation, len(r.Observations)+1)
	for name, o := range r.Observations {
		next.Observations[name] = o
	}
	if observation.IsEmpty() {
		delete(next.Observations, shard)
	} else {
		next.Observations[shard] = observation
	}
	return next
}

// TotalObservation returns the numbers of healthy, lost and unclear machines of all shards.
func (r *Record) TotalObservation() Observation {
	var total Observation
	for _, o := range r.Observations {
		total.Healthy += o.Healthy
		total.Lost += o.Lost
		total.Unclear += o.Unclear
	}
	return total
}

// RentalsRefused reports whether the cloud refuses rentals in the zone to the leader of any shard.
func (r *Record) RentalsRefused() bool {
	for _, o := range r.Observations {
		if o.RentalsRefused {
			return true
		}
	}
	return false
}

// HasWaitingProduction reports whether production work waits for lost machines of the zone.
func (r *Record) HasWaitingProduction() bool {
	for _, o := range r.Observations {
		if len(o.WaitingProduction) > 0 {
			return true
		}
	}
	return false
}

// enterState starts a state. In a healthy zone's record only LastFailedMS, SlowStartShare and
// Transitions remain.
func (r *Record) enterState(state State, now time.Time) {
	r.State, r.SinceMS = state, now.UnixMilli()
	if state == Healthy {
		r.Observations, r.MachinesBeforeFailure, r.HealthyWatermark = nil, 0, 0
	}
}

// enterDown enters Down. A failure soon after another halves the initial share of the slow start, but
// not below Limits.MinInitialShare.
func (r *Record) enterDown(total Observation, now time.Time, limits *Limits) {
	soonAfterAnother := r.LastFailedMS > 0 && now.Sub(time.UnixMilli(r.LastFailedMS)) < 2*limits.MaxStateDuration
	if soonAfterAnother && r.SlowStartShare > 0 {
		r.SlowStartShare = max(limits.MinInitialShare, r.SlowStartShare/2)
	} else {
		r.SlowStartShare = limits.InitialShare
	}
	r.MachinesBeforeFailure = max(total.Healthy+total.Lost, 1)
	r.HealthyWatermark = total.Healthy
	r.LastFailedMS = now.UnixMilli()
	r.Transitions++
	r.enterState(Down, now)
}
