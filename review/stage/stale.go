package main

import (
	"fmt"
	"time"
)

// Times of the case about a stale leader.
const (
	cutTime   = 40 * time.Second // how long the controller is cut off
	staleTime = 5 * time.Second  // time after the end of its lease in which its last requests may arrive
	replicas  = 6                // services, of two tasks each
	perZone   = 30               // ordinary machines that the cloud has in each zone
)

// qurumWithObjective is the small deployment with the objective for its services.
func qurumWithObjective() deployment {
	d := qurum()
	d.teams += "[[facts.objectives]]\nkind = \"wait\"\nclass = \"receipt-reader\"\nwithin_s = 10.0\nshare = 0.8\n"
	return d
}

// playStale cuts a controller off from the state service and the other controllers, and looks what it
// rents after its lease has ended.
func playStale(w *world, trouble bool) verdict {
	w.cloud.limit(map[pool]int{
		{"muscat-a", false}: perZone, {"muscat-a", true}: 0, {"sohar-b", false}: perZone, {"sohar-b", true}: 0,
	})
	time.Sleep(2 * time.Second)
	for n := range replicas {
		reader := service(fmt.Sprintf("run-%06d", n+1), "")
		reader.Site, reader.Pieces, reader.Scatter, reader.CPUs, reader.GPUs, reader.MemGB = nil, 2, true, 4, 1, 29
		if !w.submit(reader, n%len(w.controllers)) {
			return verdict{exitCould, reader.UID + " was not accepted"}
		}
		if !w.awaitStarts(reader, 2) {
			return verdict{exitCould, reader.UID + " did not start"}
		}
	}
	time.Sleep(5 * time.Second)
	needed := len(w.cloud.running())
	cut, begun := w.controllers[0], time.Now()
	if trouble {
		w.record.note("TROUBLE: %s is cut off from the state service and the other controllers; %d machines run", cut.name, needed)
		w.cutFromStateAndPeers(cut, true)
	}
	time.Sleep(cutTime)
	endedAt, ended := w.stateService.leaseEnded(cut.name, begun)
	w.cutFromStateAndPeers(cut, false)
	if trouble && !ended {
		return verdict{exitCould, "its lease did not end"}
	}
	if !ended {
		return verdict{exitHeld, "no lease ended"}
	}
	rented := w.cloud.rentedSince(cut.name, endedAt.Add(staleTime))
	text := fmt.Sprintf("%d machines ran; later than %v after the end of its lease, %s rented %d more", needed, staleTime, cut.name, rented)
	if rented > 0 {
		return verdict{exitBroken, "single_holder: " + text}
	}
	return verdict{exitHeld, text}
}
