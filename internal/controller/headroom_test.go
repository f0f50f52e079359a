package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/config"
)

// Headroom is rented for as soon as more is wanted, and in each round until there is enough: one takes no
// more than the cloud gives at once, and looking only a sixteenth of a boot apart left
// the first minutes with too few machines.
func TestHeadroomBeyondOneRental(t *testing.T) {
	s := newSim()
	s.w.MachineType.Boot = time.Minute
	for range 4 {
		s.round()
	}
	c := s.nodes[0].c
	c.node.Settings.Facts.Objectives = []config.Objective{{Kind: config.ObjectiveWait, Class: "l", WithinS: 10}}
	run := &api.Job{
		UID:      "run-1",
		Class:    "l",
		Team:     "b",
		Kind:     api.Service,
		Priority: "production",
		Tasks:    40,
		CPUs:     1,
		GPUs:     1,
		MemGB:    4,
		Image:    "i",
	}
	for range 40 {
		c.testState().Capacity.Arrivals["l"] = append(c.testState().Capacity.Arrivals["l"], capacity.Arrival{At: c.node.Now(), Spec: run, Tasks: 40})
	}
	for range 6 { // a sixteenth of a boot is eight rounds
		s.round()
	}
	if n := len(s.w.Cloud.Hosts); n < 150 {
		t.Fatalf("%d machines after three seconds", n)
	}
	rented := len(s.w.Cloud.Hosts)
	for range 6 {
		s.round()
	}
	if n := len(s.w.Cloud.Hosts); n != rented {
		t.Fatalf("%d machines, then %d, though there was enough", rented, n)
	}
}
