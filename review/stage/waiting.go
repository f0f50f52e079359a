package main

import (
	"time"
)

// waitingLimit is how long a job may wait, once the troubles are over, while a machine that fits has
// room and its team is under its limit.
const waitingLimit = 90 * time.Second

// Times of the cases about waiting jobs.
const (
	startPatience = 25 * time.Second // time in which the first jobs start
	pollInterval  = 5 * time.Second  // "Users poll about every 5 s"
)

// watchWaiting polls a job until it is done, or has waited too long since from while the machines of
// a zone had room for one of its tasks at every look.
func watchWaiting(w *world, j *job, zone string, from time.Time) verdict {
	for polled := (time.Time{}); time.Since(from) < waitingLimit+time.Second; time.Sleep(50 * time.Millisecond) {
		if time.Since(polled) >= pollInterval {
			polled = time.Now()
			if a := w.poll(2, j.UID); a.status == 200 && a.Phase == "done" {
				return verdict{exitHeld, j.UID + " is done"}
			}
		}
		if w.jobs.isOnMachine(j.UID) || !w.hasRoom(zone, j) {
			from = later(from, time.Now()) // it does not wait, or no machine has room
		}
	}
	return verdict{exitBroken, "waiting: " + j.UID + " was left waiting for 90 s while a machine that fits had room"}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// hasRoom reports whether a machine of a zone that a job allows has room for one of its tasks.
func (w *world) hasRoom(zone string, j *job) bool {
	for _, m := range w.cloud.running() {
		if m.zone == zone && (j.Loaners || !m.spot) && m.hasRoom(j) {
			return true
		}
	}
	return false
}

// takeBack lets the cloud take back all its spot machines without notice.
func (w *world) takeBack() {
	for _, m := range w.cloud.running() {
		if m.spot {
			w.record.note("TROUBLE: the cloud takes back %s", m.host)
			w.cloud.end(m, false)
		}
	}
}

// awaitStarts waits until the tasks of a job had that many starts.
func (w *world) awaitStarts(j *job, starts int) bool {
	return await(startPatience, func() bool { return w.jobs.startsOf(j.UID) >= starts })
}

// playBoundZone lets the cloud take back the spot machine of an array that wants all its tasks in one
// zone. That zone is full then, and the other one has a machine with room.
func playBoundZone(w *world, trouble bool) verdict {
	w.cloud.limit(map[pool]int{{"muscat-a", false}: 1, {"muscat-a", true}: 1, {"sohar-b", false}: 2, {"sohar-b", true}: 0})
	array := longTask("run-000001")
	array.Pieces, array.Together, array.Loaners, array.Rank, array.GuessS, array.runs = 2, true, true, "idle", 20, 20*time.Second
	inMuscat, inSohar := service("run-000002", "muscat-a"), service("run-000003", "sohar-b")
	inMuscat.Pieces, inMuscat.GPUs, inMuscat.CPUs, inMuscat.MemGB = 2, 1, 4, 29 // they fill the machine that the zone has
	time.Sleep(2 * time.Second)
	if !w.submit(array, 0) || !w.awaitStarts(array, 2) {
		return verdict{exitCould, "the array did not start"}
	}
	if !w.submit(inMuscat, 0) || !w.submit(inSohar, 1) || !w.awaitStarts(inMuscat, 2) || !w.awaitStarts(inSohar, 1) {
		return verdict{exitCould, "the services did not start"}
	}
	if trouble {
		w.takeBack()
	}
	return watchWaiting(w, array, "sohar-b", time.Now().Add(w.workerLease))
}

// playLimit lets the cloud take back the spot machines of an array that is bound to one zone and uses
// its team's whole limit. The team's next job may run in the other zone, where a machine has room.
func playLimit(w *world, trouble bool) verdict {
	w.cloud.limit(map[pool]int{{"muscat-a", false}: 0, {"muscat-a", true}: 2, {"sohar-b", false}: 2, {"sohar-b", true}: 0})
	muscat := "muscat-a"
	array, next, inSohar := longTask("run-000001"), longTask("run-000002"), service("run-000003", "sohar-b")
	array.Pieces, array.Site, array.Loaners, array.Rank, array.GuessS, array.runs = limitedGPUs, &muscat, true, "urgent", 20, 20*time.Second
	next.Rank, next.GuessS, next.runs = "standard", 5, 5*time.Second
	time.Sleep(2 * time.Second)
	if !w.submit(array, 0) || !w.awaitStarts(array, limitedGPUs) {
		return verdict{exitCould, "the array did not start"}
	}
	if trouble {
		w.takeBack()
	}
	from := time.Now().Add(w.workerLease)
	if !w.submit(inSohar, 1) || !w.awaitStarts(inSohar, 1) || !w.submit(next, 2) {
		return verdict{exitCould, "the next jobs did not start"}
	}
	return watchWaiting(w, next, "sohar-b", from)
}

// playMistake submits a job whose tasks fail on every machine, and then a job of lower rank at another
// controller. The machines have room nearly all the time.
func playMistake(w *world, trouble bool) verdict {
	w.cloud.limit(map[pool]int{{"muscat-a", false}: 1, {"muscat-a", true}: 0, {"sohar-b", false}: 1, {"sohar-b", true}: 0})
	inMuscat, inSohar := service("run-000001", "muscat-a"), service("run-000002", "sohar-b")
	first, second := longTask("run-000003"), longTask("run-000004")
	first.Owner, first.Lane, first.Pieces, first.runs, first.fails = "payouts", "export", 6, 5*time.Second, trouble
	second.Rank, second.GuessS, second.runs = "idle", 5, 5*time.Second
	time.Sleep(2 * time.Second)
	if !w.submit(inMuscat, 0) || !w.submit(inSohar, 1) || !w.awaitStarts(inMuscat, 1) || !w.awaitStarts(inSohar, 1) {
		return verdict{exitCould, "the services did not start"}
	}
	if !w.submit(first, 0) || !w.awaitStarts(first, 4) {
		return verdict{exitCould, "the first job did not start"}
	}
	if !w.submit(second, 2) {
		return verdict{exitCould, "the second job was not accepted"}
	}
	return watchWaiting(w, second, "sohar-b", time.Now())
}
