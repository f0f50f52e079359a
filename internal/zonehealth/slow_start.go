package zonehealth

import "time"

// fastStartFactor is by how much sooner the share of a slow start doubles while nearly all machines
// are back and no production work waits for the others.
const fastStartFactor = 4

// AdmissionShare returns the share of the zone's machines that work below production may have
// taken since the zone came back: none while it is down, then a share that doubles, 1 and more
// without limit. It follows from the record and the time of day, so that all controllers
// have the same without a write.
func (r *Record) AdmissionShare(now time.Time, limits *Limits) float64 {
	switch r.State {
	case Down:
		return 0
	case Recovering:
		return r.slowStartShare(now, limits)
	case Healthy, Suspect:
	}
	return 1
}

// slowStartShare is AdmissionShare of a recovering zone.
func (r *Record) slowStartShare(now time.Time, limits *Limits) float64 {
	share := r.SlowStartShare
	if share <= 0 {
		share = limits.InitialShare
	}
	every := limits.DoublingInterval
	if r.productionServed(limits) {
		every /= fastStartFactor // no production work to keep room for: only fetches and starts are spread out
	}
	passed := max(now.Sub(time.UnixMilli(r.SinceMS)), 0)
	for ; passed >= every && share < 1; passed -= every {
		share *= 2
	}
	return share
}

// productionServed reports whether nearly all machines are back and no production work waits
// for the others.
func (r *Record) productionServed(limits *Limits) bool {
	sum := r.TotalObservation()
	away := float64(sum.Lost + sum.Unclear)
	return !r.HasWaitingProduction() && away <= limits.SuspectShare*float64(sum.Healthy+sum.Lost+sum.Unclear)
}
