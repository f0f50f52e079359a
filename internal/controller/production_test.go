package controller

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/frontend"
	"violetturn/internal/job"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
	"violetturn/internal/statecache"
	"violetturn/internal/transport"
)

// sameJSON reports whether two records say the same.
func sameJSON(t *testing.T, a, b json.RawMessage) bool {
	t.Helper()
	var x, y any
	if err := json.Unmarshal(a, &x); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, &y); err != nil {
		t.Fatal(err)
	}
	return reflect.DeepEqual(x, y)
}

// Records that the version in production wrote are read and written back as they were:
// the files are its own work.
func TestReadsProductionRecords(t *testing.T) {
	for name, read := range map[string]func(raw json.RawMessage) (any, error){
		"job-inner.json":   func(raw json.RawMessage) (any, error) { return job.ParseRecord(raw) },
		"job-chunked.json": func(raw json.RawMessage) (any, error) { return job.ParseRecord(raw) },
		"chunk.json":       func(raw json.RawMessage) (any, error) { return job.ParseTaskRange(raw) },
		"owner.json":       func(raw json.RawMessage) (any, error) { v := shard.LeaderRecord{}; return &v, json.Unmarshal(raw, &v) },
		"node.json":        func(raw json.RawMessage) (any, error) { v := shard.NodeRecord{}; return &v, json.Unmarshal(raw, &v) },
		"part.json": func(raw json.RawMessage) (any, error) {
			v := shard.CapacityRecord{}
			return &v, json.Unmarshal(raw, &v)
		},
		"page.json": func(raw json.RawMessage) (any, error) { v := shard.MachinePage{}; return &v, json.Unmarshal(raw, &v) },
		"team.json": func(raw json.RawMessage) (any, error) { v := shard.QuotaRecord{}; return &v, json.Unmarshal(raw, &v) },
		"past.json": func(raw json.RawMessage) (any, error) { v := job.FinalState{}; return &v, json.Unmarshal(raw, &v) },
	} {
		raw, err := os.ReadFile(filepath.Join("testdata", "production", name))
		if err != nil {
			t.Fatal(err)
		}
		v, err := read(raw)
		if err != nil || !sameJSON(t, raw, api.MustMarshal(v)) {
			t.Errorf("%s comes back as %s, %v", name, api.MustMarshal(v), err)
		}
	}
}

// What is written while a controller may still be of the version in production says
// the same after that has read it and written it back, but for the word about itself
// that a node leaves in its own record, which nobody else rewrites.
func TestProductionReadsUpgradeRecords(t *testing.T) {
	s := newTestCluster()
	s.nodes[1].inProduction = true
	s.startNode(1)
	s.runFor(20)
	s.submitJob(func(r *api.Job, _ *time.Duration) { r.Tasks, r.GPUs, r.CPUs, r.MemGB = 40, 0, 0.1, 0.1 })
	s.submitJob(func(r *api.Job, _ *time.Duration) { r.Tasks, r.Kind, r.SingleZone = 2, api.Service, true })
	s.runFor(20)
	items, _, err := s.nodes[0].controller.services.Store.List(context.Background(), statecache.LivePrefix)
	if err != nil || len(items) < 8 {
		t.Fatal(len(items), err)
	}
	for _, it := range items {
		old, err := asProduction(it.Key, it.Value)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(it.Key, statecache.CapabilityKey("")) {
			continue // it knows no such records, and leaves them alone
		}
		if strings.HasPrefix(it.Key, statecache.NodeKey("")) {
			var o shard.NodeRecord
			if err := json.Unmarshal(it.Value, &o); err != nil {
				t.Fatal(err)
			}
			o.SchemaVersion = 0
			it.Value = api.MustMarshal(o)
		}
		if !sameJSON(t, it.Value, old) {
			t.Errorf("%s: %s comes back as %s", it.Key, it.Value, old)
		}
	}
	if s.nodes[0].state().Schema.AllUpgraded() {
		t.Error("upgraded with one of the version in production")
	}
}

// That all are new is known from what each leaves behind: also to one alone after the
// end of all, and not as long as one has never shown it.
func TestUpgradeIsKnown(t *testing.T) {
	s := newTestCluster()
	for i := range s.nodes {
		s.nodes[i].inProduction = true
		s.startNode(i)
	}
	gang := func() int {
		r := &api.Job{
			UID:      "run-000900",
			Class:    "l",
			Team:     "b",
			Kind:     api.Gang,
			Priority: "standard",
			Tasks:    2,
			CPUs:     1,
			MemGB:    1,
			Image:    "i",
		}
		s.environment.Jobs[r.UID] = &simulator.Job{Spec: *r, RunTime: time.Second, DoneTasks: map[int]bool{}}
		for _, n := range s.nodes {
			if n.running && !n.inProduction {
				return n.controller.frontend.Submit(context.Background(), simulator.Submission(r)).Status
			}
		}
		return 0
	}
	for i := range s.nodes {
		s.runFor(10)
		s.nodes[i].inProduction = false
		s.startNode(i)
		s.runFor(10)
		if i < 2 {
			if a := gang(); a != 503 {
				t.Fatalf("with %d new controllers a gang is answered %d", i+1, a)
			}
			s.nodes[0].running = i == 0 // the first one dies, and stays counted
		}
	}
	for _, n := range s.nodes {
		n.running = false
	}
	s.runFor(40)
	s.startNode(2)
	s.runFor(30)
	if a := gang(); a != 201 {
		t.Fatalf("one new controller alone answers %d", a)
	}
}

// The simulated services' checkers see what a controller of the version in production does to a
// gang that was accepted too early.
func TestPlantedGangIsCaught(t *testing.T) {
	s := newTestCluster()
	for i := range s.nodes {
		s.nodes[i].inProduction = i > 0
		s.startNode(i)
	}
	s.runFor(30)
	r := api.Job{UID: "run-000001", Class: "l", Team: "b", Kind: api.Gang, Priority: "standard", Tasks: 4, CPUs: 4, MemGB: 1, Image: "i"}
	s.environment.Jobs[r.UID] = &simulator.Job{Spec: r, RunTime: time.Second, DoneTasks: map[int]bool{}}
	m := &job.Record{Spec: r, Shard: "n1", AcceptedMS: s.environment.Now.UnixMilli()}
	m.ChooseLayout(2, 300, false)
	a := &frontend.Submission{Ctx: context.Background(), Record: m, Response: make(chan transport.Response, 1)}
	s.nodes[0].controller.frontend.AcceptBatch(context.Background(), []*frontend.Submission{a}) // without asking who may read it
	s.runFor(200)
	if !slices.ContainsFunc(s.environment.Violations, func(v simulator.Violation) bool { return v.Rule == simulator.RuleGangAttempts }) {
		t.Fatalf("nobody sees that its tasks were placed one by one: %v", s.environment.Violations)
	}
}
