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
	State          State                  `json:"s"`
	Transitions    uint64                 `json:"n"`           // increases whenever the zone goes down or starts to recover
	SinceMS        int64                  `json:"at"`          // when the state began, Unix time in milliseconds
	FailedMS       int64                  `json:"f,omitempty"` // when the zone last went down, Unix time in milliseconds
	SlowStartShare float64                `json:"w,omitempty"` // share of the zone that work below production may use at first
	MachinesBefore int                    `json:"b,omitempty"` // number of machines when it went down
	Watermark      int                    `json:"m,omitempty"` // fewest machines up while down, most machines up while recovering
	Observations   map[string]Observation `json:"p,omitempty"` // by shard
}

// Limits are the thresholds and durations that govern state changes and the slow start.
type Limits struct {
	SuspectShare, DownShare float64       // shares of the machines that are lost
	Confirm                 time.Duration // how long most machines must be lost before the zone is down
	FirstShare, LeastShare  float64       // initial shares of a slow start: normal value, and minimum after repeated failures
	DoubleEvery             time.Duration // interval at which the share of the slow start doubles
	Longest                 time.Duration // maximum duration of Down and of Recovering
}

// Restricts reports whether the state restricts what may be placed in the zone.
func (r *Record) Restricts() bool { return r.State == Down || r.State == Recovering }

// WithObservation returns a copy of the record with the current observation of a shard's leader.
func (r *Record) WithObservation(shard string, observation Observation) Record {
	next := *r
	next.Observations = make(map[string]Observation, len(r.Observations)+1)
	for name, o := range r.Observations {
		next.Observations[name] = o
	}
	if observation.Empty() {
		delete(next.Observations, shard)
	} else {
		next.Observations[shard] = observation
	}
	return next
}

// Sum returns the number of machines that are up, lost and unclear over all shards.
func (r *Record) Sum() Observation {
	var total Observation
	for _, o := range r.Observations {
		total.Up += o.Up
		total.Lost += o.Lost
		total.Unclear += o.Unclear
	}
	return total
}

// Refused reports whether the cloud refuses rentals in the zone to the leader of any shard.
func (r *Record) Refused() bool {
	for _, o := range r.Observations {
		if o.Refused {
			return true
		}
	}
	return false
}

// Waiting reports whether production work waits for lost machines of the zone.
func (r *Record) Waiting() bool {
	for _, o := range r.Observations {
		if len(o.Waiting) > 0 {
			return true
		}
	}
	return false
}

// enterState starts a state. A healthy zone keeps only the facts of its last failure.
func (r *Record) enterState(state State, now time.Time) {
	r.State, r.SinceMS = state, now.UnixMilli()
	if state == Healthy {
		r.Observations, r.MachinesBefore, r.Watermark = nil, 0, 0
	}
}

// enterDown enters Down. A failure soon after another halves the initial share of the slow start.
func (r *Record) enterDown(total Observation, now time.Time, limits *Limits) {
	soonAfterAnother := r.FailedMS > 0 && now.Sub(time.UnixMilli(r.FailedMS)) < 2*limits.Longest
	if soonAfterAnother && r.SlowStartShare > 0 {
		r.SlowStartShare = max(limits.LeastShare, r.SlowStartShare/2)
	} else {
		r.SlowStartShare = limits.FirstShare
	}
	r.MachinesBefore = max(total.Up+total.Lost, 1)
	r.Watermark = total.Up
	r.FailedMS = now.UnixMilli()
	r.Transitions++
	r.enterState(Down, now)
}
