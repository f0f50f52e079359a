package controller

import (
	"context"
	"testing"
	"time"

	"violetturn/internal/api"
)

// A leader that hears from a peer that its shard was acquired stops answering at once and
// sends its workers there, long before its own time is over.
func TestReplacedLeaderRedirectsWorkers(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Zone = api.Service, 3, "x" })
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 3 })
	leader, _ := s.leaderOfJob(t, id)
	home := s.nodes[leader].name
	s.environment.Store.RefusedNodes[home] = true
	s.runUntil(t, 40, "acquired", func() bool { o := s.leaderOf(home); return o != "" && o != home })
	c := s.nodes[leader].controller
	c.members.QueryPeers(context.Background())
	if o := c.testState().Leadership.Lookup(home); o == nil || o.Successor() != s.leaderOf(home) {
		t.Fatalf("it does not know: %+v", o)
	}
	for h, m := range c.testState().Cache.Machines {
		if x := s.environment.Cloud.WorkersByHost[h]; m.Shard == home && x != nil && x.Booted() {
			r := x.Heartbeat()
			r.Token = 0
			if got := s.deliverHeartbeat(leader, api.MustMarshal(r)); got.status != 421 || got.leader != s.leaderOf(home) {
				t.Errorf("%s is answered %d, leader %q", h, got.status, got.leader)
			}
		}
	}
	for range 60 {
		s.runRound()
		if len(s.environment.Violations) > 0 || s.runningTasks(id) != 3 {
			t.Fatalf("%d replicas, %v", s.runningTasks(id), s.environment.Violations)
		}
	}
}

// A worker learns whom to report to, and a node that may not answer never keeps
// it with a 200.
func TestOtherNodesRedirectWorkers(t *testing.T) {
	s := newReadyCluster()
	s.submitJob(nil)
	s.runUntil(t, 40, "machine known", func() bool {
		return len(s.nodes[0].state().Cache.Machines) > 0 && len(s.environment.Cloud.WorkersByHost) > 0
	})
	for h, m := range s.nodes[0].state().Cache.Machines {
		x := s.environment.Cloud.WorkersByHost[h]
		for i, n := range s.nodes {
			got := s.deliverHeartbeat(i, api.MustMarshal(x.Heartbeat()))
			switch own := n.name == m.Shard; {
			case own && got.status != 200, !own && (got.status != 421 || got.leader != m.Shard):
				t.Errorf("%s of shard %s at %s: %d %q", h, m.Shard, n.name, got.status, got.leader)
			}
		}
	}
	for range 100 { // a node refused by the state service alone
		s.environment.Store.RefusedNodes["n0"] = true
		s.runRound()
	}
	for h := range s.nodes[1].state().Cache.Machines {
		if x := s.environment.Cloud.WorkersByHost[h]; x != nil {
			if s.deliverHeartbeat(0, api.MustMarshal(x.Heartbeat())).status == 200 {
				t.Error("answers 200 long after its lease has ended")
			}
		}
	}
}
