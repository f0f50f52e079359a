package main

import (
	"net/http"
	"time"
)

// Figures of the case.
const (
	replicaCount = 1150             // replicas of the service: a report of all of them has about 62,000 bytes
	settleTime   = 5 * time.Second  // in which the worker reports them all
	watchTime    = 30 * time.Second // how long messages are watched after all replicas run
)

// replicaSpec returns a service of many small replicas.
func replicaSpec() jobSpec {
	return jobSpec{
		UID: "run-000413", Lane: "receipt-reader", Owner: "claims-core", Shape: "daemon", Rank: "production",
		Pieces: replicaCount, CPUs: 0.005, MemGB: 0.02, Bundle: "img-08", SizeGB: 0.2,
	}
}

// runCallOff runs an ordinary array and a service of many small replicas on one machine and, as the
// disruption, has the user cancel the service. No message to the worker may exceed 64 KiB.
func runCallOff(w *world) (held bool, err error) {
	w.rooms["muscat-a"] = 1
	spec := rescoreSpec()
	spec.Pieces = 1
	rescore, err := w.submit(spec, rescoreRun)
	if err != nil {
		return false, err
	}
	service, err := w.submit(replicaSpec(), 0)
	if err != nil {
		return false, err
	}
	running := func() bool {
		n := 0
		for _, v := range w.cloud.workers() {
			n += v.count(service)
		}
		return n == replicaCount
	}
	if err := await("all replicas run", 40*time.Second, running); err != nil {
		return false, err
	}
	w.record.note("case", "%d replicas run", replicaCount)
	time.Sleep(settleTime)
	if w.trouble {
		err := await("the service is cancelled", 10*time.Second, func() bool {
			status, state := w.ask(w.nextNode(), "POST", "/v2/runs/"+service.UID+"/cancel", nil)
			return status == http.StatusOK && state.Phase == "withdrawn"
		})
		if err != nil {
			return false, err
		}
		w.record.note("case", "the service is cancelled")
	}
	time.Sleep(watchTime)
	for _, v := range w.cloud.workers() {
		w.record.note("case", "%s: its lease ran out %d times with tasks; %d replicas and %d tasks of %s are there",
			v.UID, v.lapses, v.count(service), v.count(rescore), rescore.UID)
	}
	return len(w.brokenRules()) == 0, nil
}

// count returns how many tasks of a job are on the machine.
func (v *worker) count(j *job) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, t := range v.tasks {
		if t.onMachine() && t.job == j {
			n++
		}
	}
	return n
}
