package zonehealth

import "time"

// fastStartFactor is the factor by which a slow start is faster while the zone has nearly recovered.
const fastStartFactor = 4

// AdmissionShare returns the share of the zone's machines that work below production may have used
// since the zone returned: 0 while the zone is down, then a share that doubles at intervals; 1 or more
// means no restriction. It depends only on the record and the current time, so that all controllers
// compute the same share without a write.
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

// slowStartShare is AdmissionShare for a recovering zone.
func (r *Record) slowStartShare(now time.Time, limits *Limits) float64 {
	share := r.SlowStartShare
	if share <= 0 {
		share = limits.InitialShare
	}
	interval := limits.DoublingInterval
	if r.isNearlyRecovered(limits) {
		interval /= fastStartFactor // no capacity is kept for production; only image fetches and starts are spread out
	}
	elapsed := max(now.Sub(time.UnixMilli(r.SinceMS)), 0)
	for ; elapsed >= interval && share < 1; elapsed -= interval {
		share *= 2
	}
	return share
}

// isNearlyRecovered reports whether nearly all machines are healthy and no production work waits for
// the others.
func (r *Record) isNearlyRecovered(limits *Limits) bool {
	total := r.TotalObservation()
	notHealthy := float64(total.Lost + total.Unclear)
	return !r.HasWaitingProduction() && notHealthy <= limits.SuspectShare*float64(total.Healthy+total.Lost+total.Unclear)
}
