package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// job adds a job to the world and submits it to the first controller.
func (s *sim) job(change func(*api.Job, *time.Duration)) string {
	id := fmt.Sprintf("run-%06d", len(s.uids))
	r := &api.Job{
		UID: id, Class: "l", Team: "b", Kind: api.Array, Priority: "standard", Tasks: 2, CPUs: 1, GPUs: 1,
		MemGB: 4, Image: "img", ImageGB: 1,
	}
	d := 5 * time.Second
	if change != nil {
		change(r, &d)
	}
	s.w.Jobs[id] = &simulator.Job{Spec: *r, RunTime: d, Done: map[int]bool{}}
	s.uids = append(s.uids, id)
	s.submit(0, id)
	return id
}

// warmSim is a world whose controllers are up.
func warmSim() *sim {
	s := newSim()
	for range 10 {
		s.round()
	}
	return s
}

// rounds runs until ok, or fails after so many rounds.
func (s *sim) rounds(t testing.TB, most int, what string, ok func() bool) {
	t.Helper()
	for range most {
		if ok() {
			return
		}
		s.round()
		if len(s.w.Violations) > 0 {
			t.Fatalf("%v", s.w.Violations)
		}
	}
	t.Fatalf("%s: not after %d rounds", what, most)
}

func (s *sim) done(id string) func() bool {
	return func() bool {
		s.poll(1, id)
		return s.w.Jobs[id].FinalPhase == api.Done
	}
}

func (s *sim) running(id string) int {
	n := 0
	for _, x := range s.w.Cloud.Hosts {
		for _, p := range x.Heartbeat().Tasks {
			if uid, _, _ := api.SplitTaskName(p.Task); uid == id && p.Phase == api.Running {
				n++
			}
		}
	}
	return n
}

func (s *sim) owner(shard string) string {
	for _, n := range s.nodes {
		if n.up && n.c.testState().Leadership.Leads(shard) && n.c.testState().Leadership.MayAct(n.c.node.Now()) {
			return n.name
		}
	}
	return ""
}

// hostsOf names the machines that a job's tasks run on.
func (s *sim) hostsOf(id string) map[string]int {
	on := map[string]int{}
	for h, x := range s.w.Cloud.Hosts {
		for _, p := range x.Heartbeat().Tasks {
			if uid, _, _ := api.SplitTaskName(p.Task); uid == id && p.Phase == api.Running {
				on[h]++
			}
		}
	}
	return on
}
