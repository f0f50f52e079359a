package main

import (
	"fmt"
	"time"
)

// Figures of the case.
const (
	yearendPieces = 20_000            // tasks of the huge array
	rescoreRun    = 60 * time.Second  // run time of each task of the ordinary array
	rescoreLimit  = 108 * time.Second // by which the ordinary array is to be done
)

// rescoreSpec returns an array as the brief describes it.
func rescoreSpec() jobSpec {
	return jobSpec{
		UID: "run-000412", Lane: "fraud-rescore", Owner: "risk-desk", Shape: "sweep", Rank: "idle", Pieces: 3,
		CPUs: 4, GPUs: 1, MemGB: 36, Bundle: "img-07", SizeGB: 0.5, GuessS: rescoreRun.Seconds(),
	}
}

// yearendSpec returns one huge array of a guest team, whose tasks are small.
func yearendSpec() jobSpec {
	return jobSpec{
		UID: "run-000413", Lane: "wadi-yearend", Owner: "wadi-audit", Shape: "sweep", Rank: "idle", Pieces: yearendPieces,
		CPUs: 0.002, MemGB: 0.01, Bundle: "img-08", SizeGB: 0.2, GuessS: 60,
	}
}

// runYearend submits an ordinary array and, as the disruption, a huge one of a guest team. The
// ordinary array has to be done all the same.
func runYearend(w *world) (held bool, err error) {
	w.rooms["muscat-a"], w.rooms["sohar-b"] = 1, 1
	rescore, err := w.submit(rescoreSpec(), rescoreRun)
	if err != nil {
		return false, err
	}
	begun := time.Now()
	if w.trouble {
		if _, err := w.submit(yearendSpec(), time.Minute); err != nil {
			return false, err
		}
		w.record.note("case", "a huge array is accepted")
	}
	done := false
	for !done && time.Since(begun) < rescoreLimit {
		time.Sleep(2 * time.Second)
		done = w.phase(rescore.UID) == "done"
	}
	w.record.note("case", "%s is done: %v, after %.0f s; %d of %d tasks have completed", rescore.UID, done,
		time.Since(begun).Seconds(), rescore.doneCount(), rescore.Pieces)
	for _, v := range w.cloud.workers() {
		w.record.note("case", "%s: its lease ran out %d times with tasks; %d reports too large to be sent; the others by status: %s",
			v.UID, v.lapses, v.unsent, fmt.Sprint(v.refusals))
	}
	w.record.note("case", "longest response to a worker: %d bytes", w.longest)
	return done && len(w.brokenRules()) == 0, nil
}
