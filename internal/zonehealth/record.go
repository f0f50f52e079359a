package zonehealth

import "time"

// State is what a zone is taken for. The zero value counts as Healthy.
type State string

// The states of a zone. Only Down and Recovering restrict what may be placed.
const (
	Healthy    State = "healthy"
	Suspect    State = "suspect"    // some machines are lost, perhaps for another reason
	Down       State = "down"       // most are lost, and other zones' are not
	Recovering State = "recovering" // machines come back
)

// Record is a zone's record. The zero record is that of a healthy zone without observations.
type Record struct {
	State                 State                  `json:"s"`
	Transitions           uint64                 `json:"n"`           // rises whenever the zone goes down or comes back
	SinceMS               int64                  `json:"at"`          // when the state began, Unix time in milliseconds
	LastFailedMS          int64                  `json:"f,omitempty"` // when it went down last, Unix time in milliseconds
	SlowStartShare        float64                `json:"w,omitempty"` // share of the zone that work below production may take at first
	MachinesBeforeFailure int                    `json:"b,omitempty"` // machines that it had when it went down
	HealthyWatermark      int                    `json:"m,omitempty"` // while down the fewest, while recovering the most that were up
	Observations          map[string]Observation `json:"p,omitempty"` // by shard
}

// Limits are the bounds between the states.
type Limits struct {
	SuspectShare, DownShare       float64       // shares of the machines that are lost
	ConfirmAfter                  time.Duration // most are lost for so long before the zone is down
	InitialShare, MinInitialShare float64       // of the machines, at the beginning of a slow start
	DoublingInterval              time.Duration // the slow start's share doubles so often
	MaxStateDuration              time.Duration // that Down and Recovering last
}

// RestrictsPlacement reports whether the state restricts what may be placed in the zone.
func (r *Record) RestrictsPlacement() bool { return r.State == Down || r.State == Recovering }

// WithObservation returns a copy of the record with what the leader of a shard observes now.
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

// TotalObservation returns the machines that are up, lost and unclear, over all shards.
func (r *Record) TotalObservation() Observation {
	var sum Observation
	for _, o := range r.Observations {
		sum.Healthy += o.Healthy
		sum.Lost += o.Lost
		sum.Unclear += o.Unclear
	}
	return sum
}

// RentalsRefused reports whether the cloud refuses machines there to the leader of any shard.
func (r *Record) RentalsRefused() bool {
	for _, o := range r.Observations {
		if o.RentalsRefused {
			return true
		}
	}
	return false
}

// HasWaitingProduction reports whether production work waits for lost machines.
func (r *Record) HasWaitingProduction() bool {
	for _, o := range r.Observations {
		if len(o.WaitingProduction) > 0 {
			return true
		}
	}
	return false
}

// enter begins a state. Of a healthy zone nothing is kept but how it last failed.
func (r *Record) enter(state State, now time.Time) {
	r.State, r.SinceMS = state, now.UnixMilli()
	if state == Healthy {
		r.Observations, r.MachinesBeforeFailure, r.HealthyWatermark = nil, 0, 0
	}
}

// goDown enters Down. A failure soon after another halves the slow start.
func (r *Record) goDown(sum Observation, now time.Time, limits *Limits) {
	again := r.LastFailedMS > 0 && now.Sub(time.UnixMilli(r.LastFailedMS)) < 2*limits.MaxStateDuration
	if again && r.SlowStartShare > 0 {
		r.SlowStartShare = max(limits.MinInitialShare, r.SlowStartShare/2)
	} else {
		r.SlowStartShare = limits.InitialShare
	}
	r.MachinesBeforeFailure = max(sum.Healthy+sum.Lost, 1)
	r.HealthyWatermark = sum.Healthy
	r.LastFailedMS = now.UnixMilli()
	r.Transitions++
	r.enter(Down, now)
}
