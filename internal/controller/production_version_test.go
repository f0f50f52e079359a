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

// equalJSON reports whether two records have the same content.
func equalJSON(t *testing.T, a, b json.RawMessage) bool {
	t.Helper()
	var decodedA, decodedB any
	if err := json.Unmarshal(a, &decodedA); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, &decodedB); err != nil {
		t.Fatal(err)
	}
	return reflect.DeepEqual(decodedA, decodedB)
}

// Records of the version in production are read and written back unchanged. The files were
// written by that version.
func TestRecordsOfProductionVersionAreUnchanged(t *testing.T) {
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
		record, err := read(raw)
		if err != nil || !equalJSON(t, raw, api.MustMarshal(record)) {
			t.Errorf("%s is written back as %s, error %v; want it unchanged", name, api.MustMarshal(record), err)
		}
	}
}

// Records that are written while one controller may still run the version in production have the
// same content after that version has read them and written them back. The exception is the schema
// version that a controller writes to its own record, which no other controller rewrites.
func TestProductionVersionPreservesNewRecords(t *testing.T) {
	s := newTestCluster()
	s.nodes[1].runsProductionVersion = true
	s.startNode(1)
	s.runFor(20)
	s.submitJob(func(j *api.Job, _ *time.Duration) { j.Tasks, j.GPUs, j.CPUs, j.MemGB = 40, 0, 0.1, 0.1 })
	s.submitJob(func(j *api.Job, _ *time.Duration) { j.Tasks, j.Kind, j.SingleZone = 2, api.Service, true })
	s.runFor(20)
	items, _, err := s.nodes[0].controller.services.Store.List(context.Background(), statecache.LivePrefix)
	if err != nil || len(items) < 8 {
		t.Fatalf("%d items in the state service, error %v; want at least 8 and no error", len(items), err)
	}
	for _, item := range items {
		rewritten, err := asProduction(item.Key, item.Value)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(item.Key, statecache.CapabilityKey("")) {
			continue // the version in production ignores these records
		}
		if strings.HasPrefix(item.Key, statecache.NodeKey("")) {
			var nodeRecord shard.NodeRecord
			if err := json.Unmarshal(item.Value, &nodeRecord); err != nil {
				t.Fatal(err)
			}
			nodeRecord.SchemaVersion = 0
			item.Value = api.MustMarshal(nodeRecord)
		}
		if !equalJSON(t, item.Value, rewritten) {
			t.Errorf("%s: %s is written back as %s, want the same content", item.Key, item.Value, rewritten)
		}
	}
	if s.nodes[0].state().Schema.AllUpgraded() {
		t.Error("all controllers count as upgraded, want not, as n1 runs the version in production")
	}
}

// The records that each controller leaves show whether all controllers are upgraded. A single
// controller that runs after all others have stopped reads that they are. As long as one controller
// has never recorded its upgrade, they are not.
func TestUpgradeIsDetectedFromRecords(t *testing.T) {
	s := newTestCluster()
	for i := range s.nodes {
		s.nodes[i].runsProductionVersion = true
		s.startNode(i)
	}
	submitGang := func() int {
		spec := &api.Job{
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
		s.environment.Jobs[spec.UID] = &simulator.Job{Spec: *spec, RunTime: time.Second, DoneTasks: map[int]bool{}}
		for _, n := range s.nodes {
			if n.running && !n.runsProductionVersion {
				return n.controller.frontend.Submit(context.Background(), simulator.Submission(spec)).Status
			}
		}
		return 0
	}
	for i := range s.nodes {
		s.runFor(10)
		s.nodes[i].runsProductionVersion = false
		s.startNode(i)
		s.runFor(10)
		if i < 2 {
			if status := submitGang(); status != 503 {
				t.Fatalf("gang submitted with %d of 3 controllers upgraded: status %d, want 503", i+1, status)
			}
			s.nodes[0].running = i == 0 // the first controller stops after the second is upgraded, and still counts
		}
	}
	for _, n := range s.nodes {
		n.running = false
	}
	s.runFor(40)
	s.startNode(2)
	s.runFor(30)
	if status := submitGang(); status != 201 {
		t.Fatalf("gang submitted to a single upgraded controller: status %d, want 201", status)
	}
}

// The checkers of the simulator detect that a controller of the version in production places the
// tasks of a gang one by one if the gang was accepted before all controllers were upgraded.
func TestCheckersDetectGangAcceptedTooEarly(t *testing.T) {
	s := newTestCluster()
	for i := range s.nodes {
		s.nodes[i].runsProductionVersion = i > 0
		s.startNode(i)
	}
	s.runFor(30)
	spec := api.Job{UID: "run-000001", Class: "l", Team: "b", Kind: api.Gang, Priority: "standard", Tasks: 4, CPUs: 4, MemGB: 1, Image: "i"}
	s.environment.Jobs[spec.UID] = &simulator.Job{Spec: spec, RunTime: time.Second, DoneTasks: map[int]bool{}}
	record := &job.Record{Spec: spec, Shard: "n1", AcceptedMS: s.environment.Now.UnixMilli()}
	record.ChooseLayout(2, 300, false)
	submission := &frontend.Submission{Ctx: context.Background(), Record: record, Response: make(chan transport.Response, 1)}
	// AcceptBatch does not check that all controllers support gangs.
	s.nodes[0].controller.frontend.AcceptBatch(context.Background(), []*frontend.Submission{submission})
	s.runFor(200)
	if !slices.ContainsFunc(s.environment.Violations, func(v simulator.Violation) bool { return v.Rule == simulator.RuleGangAttempts }) {
		t.Fatalf("violations %v, want one of rule %q, as the gang's tasks were placed one by one",
			s.environment.Violations, simulator.RuleGangAttempts)
	}
}
