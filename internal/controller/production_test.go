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
	"violetturn/internal/external"
	"violetturn/internal/frontend"
	"violetturn/internal/job"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/transport"
)

// The structures into which the version in production reads records, field by field as
// it has them. It writes back what it read: a field that is not here is lost.
type (
	prodMain struct {
		Run   api.Job    `json:"r"`
		Part  string     `json:"p"`
		AtMS  int64      `json:"at"`
		Chunk int        `json:"k"`
		Gone  bool       `json:"w,omitempty"`
		Fin   []int      `json:"f,omitempty"`
		Zone  string     `json:"z,omitempty"`
		Inner bool       `json:"i,omitempty"`
		Only  *prodChunk `json:"o,omitempty"`
	}
	prodPlace struct {
		Try  uint64 `json:"t"`
		Host string `json:"m"`
		Stop bool   `json:"s,omitempty"`
		AtS  int64  `json:"a,omitempty"`
	}
	prodChunk struct {
		Tries  uint64             `json:"c,omitempty"`
		Errors int                `json:"e,omitempty"`
		Bits   string             `json:"d,omitempty"`
		Places map[int]*prodPlace `json:"p,omitempty"`
	}
	prodOwn struct {
		Node string `json:"node"`
		Inc  uint64 `json:"inc"`
		Term uint64 `json:"term"`
		Mute bool   `json:"m,omitempty"`
		Hear bool   `json:"h,omitempty"`
	}
	prodRecord struct {
		Term     uint64                `json:"term"`
		By       string                `json:"by"`
		Released bool                  `json:"rel,omitempty"`
		Doubt    bool                  `json:"d,omitempty"`
		Free     json.RawMessage       `json:"free"`
		Use      map[string][3]float64 `json:"u,omitempty"`
	}
	prodMachine struct {
		Part  string `json:"p"`
		Build string `json:"b"`
		Site  string `json:"s"`
		Spot  bool   `json:"l,omitempty"`
		Addr  string `json:"a,omitempty"`
		For   string `json:"f,omitempty"`
		AtMS  int64  `json:"at"`
	}
	prodUsage struct {
		Held map[string][3]float64 `json:"u"`
	}
)

// shapes keeps what a job's shape is called: a shape that the version in production
// doesn't know it takes for an array, and writes back under its name.
type shapes map[string]string

func (s shapes) read(key string, raw json.RawMessage) json.RawMessage {
	if raw, _ = asProduction(key, raw); raw != nil && strings.HasPrefix(key, statecache.JobKey("")) {
		var m prodMain
		_ = json.Unmarshal(raw, &m) // asProduction wrote it
		if s[key] = m.Run.Kind; m.Run.Kind != api.Service {
			m.Run.Kind = api.Array
		}
		raw = api.JSON(m)
	}
	return raw
}

func (s shapes) write(key string, raw json.RawMessage) json.RawMessage {
	if was := s[key]; was != "" && strings.HasPrefix(key, statecache.JobKey("")) {
		var m prodMain
		_ = json.Unmarshal(raw, &m) // asProduction wrote it
		m.Run.Kind = was
		raw = api.JSON(m)
	}
	return raw
}

// asProduction returns a record as the version in production writes it back, nil for one
// that it doesn't know.
func asProduction(key string, raw json.RawMessage) (json.RawMessage, error) {
	var v any
	switch {
	case strings.HasPrefix(key, statecache.JobKey("")):
		v = &prodMain{}
	case strings.HasPrefix(key, taskRangePrefix):
		v = &prodChunk{}
	case strings.HasPrefix(key, statecache.CapacityKey("")):
		v = &prodRecord{}
	case strings.HasPrefix(key, statecache.LeaderKey("")), strings.HasPrefix(key, statecache.NodeKey("")):
		v = &prodOwn{}
	case strings.HasPrefix(key, statecache.MachinePageKey("")):
		v = &map[string]*prodMachine{}
	case strings.HasPrefix(key, statecache.QuotaKey("")):
		v = &prodUsage{}
	case strings.HasPrefix(key, statecache.CapabilityKey("")):
		return nil, nil
	default:
		return raw, nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, err
	}
	return api.JSON(v), nil
}

// productionStore makes a controller's sight of the state service that of the version
// in production: it sees no fields, and no kinds of records, that this doesn't know,
// and writes none.
type productionStore struct {
	external.StateService
	shapes shapes
}

func (p *productionStore) List(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	items, revision, err := p.StateService.List(ctx, prefix)
	var out []store.Item
	for _, it := range items {
		if it.Value = p.shapes.read(it.Key, it.Value); it.Value != nil {
			out = append(out, it)
		}
	}
	return out, revision, err
}

func (p *productionStore) Changes(ctx context.Context, prefix string, since uint64, block time.Duration) ([]store.Change, uint64, error) {
	log, revision, err := p.StateService.Changes(ctx, prefix, since, block)
	var out []store.Change
	for _, e := range log {
		if e.Drop == "" {
			if e.Value = p.shapes.read(e.Write, e.Value); e.Value == nil {
				continue
			}
		}
		out = append(out, e)
	}
	return out, revision, err
}

func (p *productionStore) Commit(ctx context.Context, t *store.Txn, r store.Priority) (store.CommitResult, error) {
	u := &store.Txn{Preconditions: t.Preconditions, Ops: []store.Op{}}
	for _, op := range t.Ops {
		if op.Drop == "" {
			v, err := asProduction(op.Write, op.Value)
			if err != nil {
				panic(err)
			}
			if v == nil {
				continue
			}
			op.Value = p.shapes.write(op.Write, v)
		}
		u.Ops = append(u.Ops, op)
	}
	return p.StateService.Commit(ctx, u, r)
}

// same reports whether two records say the same.
func same(t *testing.T, a, b json.RawMessage) bool {
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
		"node.json":        func(raw json.RawMessage) (any, error) { v := shard.LeaderRecord{}; return &v, json.Unmarshal(raw, &v) },
		"part.json": func(raw json.RawMessage) (any, error) {
			v := shard.CapacityRecord{}
			return &v, json.Unmarshal(raw, &v)
		},
		"page.json": func(raw json.RawMessage) (any, error) { v := shard.Page{}; return &v, json.Unmarshal(raw, &v) },
		"team.json": func(raw json.RawMessage) (any, error) { v := shard.QuotaRecord{}; return &v, json.Unmarshal(raw, &v) },
		"past.json": func(raw json.RawMessage) (any, error) { v := job.FinalState{}; return &v, json.Unmarshal(raw, &v) },
	} {
		raw, err := os.ReadFile(filepath.Join("testdata", "production", name))
		if err != nil {
			t.Fatal(err)
		}
		v, err := read(raw)
		if err != nil || !same(t, raw, api.JSON(v)) {
			t.Errorf("%s comes back as %s, %v", name, api.JSON(v), err)
		}
	}
}

// What is written while a controller may still be of the version in production says
// the same after that has read it and written it back, but for the word about itself
// that a node leaves in its own record, which nobody else rewrites.
func TestProductionReadsUpgradeRecords(t *testing.T) {
	s := newSim()
	s.nodes[1].old = true
	s.start(1)
	for range 20 {
		s.round()
	}
	s.job(func(r *api.Job, _ *time.Duration) { r.Tasks, r.GPUs, r.CPUs, r.MemGB = 40, 0, 0.1, 0.1 })
	s.job(func(r *api.Job, _ *time.Duration) { r.Tasks, r.Kind, r.Together = 2, api.Service, true })
	for range 20 {
		s.round()
	}
	items, _, err := s.nodes[0].c.services.Store.List(context.Background(), statecache.LivePrefix)
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
			var o shard.LeaderRecord
			if err := json.Unmarshal(it.Value, &o); err != nil {
				t.Fatal(err)
			}
			o.SchemaVersion = 0
			it.Value = api.JSON(o)
		}
		if !same(t, it.Value, old) {
			t.Errorf("%s: %s comes back as %s", it.Key, it.Value, old)
		}
	}
	if s.nodes[0].c.testState().Schema.Upgraded() {
		t.Error("upgraded with one of the version in production")
	}
}

// That all are new is known from what each leaves behind: also to one alone after the
// end of all, and not as long as one has never shown it.
func TestUpgradeIsKnown(t *testing.T) {
	s := newSim()
	for i := range s.nodes {
		s.nodes[i].old = true
		s.start(i)
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
		s.w.Jobs[r.UID] = &simulator.Job{Spec: *r, RunTime: time.Second, Done: map[int]bool{}}
		for _, n := range s.nodes {
			if n.up && !n.old {
				return n.c.frontend.Submit(context.Background(), simulator.Submission(r)).Status
			}
		}
		return 0
	}
	for i := range s.nodes {
		for range 10 {
			s.round()
		}
		s.nodes[i].old = false
		s.start(i)
		for range 10 {
			s.round()
		}
		if i < 2 {
			if a := gang(); a != 503 {
				t.Fatalf("with %d new controllers a gang is answered %d", i+1, a)
			}
			s.nodes[0].up = i == 0 // the first one dies, and stays counted
		}
	}
	for _, n := range s.nodes {
		n.up = false
	}
	for range 40 {
		s.round()
	}
	s.start(2)
	for range 30 {
		s.round()
	}
	if a := gang(); a != 201 {
		t.Fatalf("one new controller alone answers %d", a)
	}
}

// The simulated services' checkers see what a controller of the version in production does to a
// gang that was accepted too early.
func TestPlantedGangIsCaught(t *testing.T) {
	s := newSim()
	for i := range s.nodes {
		s.nodes[i].old = i > 0
		s.start(i)
	}
	for range 30 {
		s.round()
	}
	r := api.Job{UID: "run-000001", Class: "l", Team: "b", Kind: api.Gang, Priority: "standard", Tasks: 4, CPUs: 4, MemGB: 1, Image: "i"}
	s.w.Jobs[r.UID] = &simulator.Job{Spec: r, RunTime: time.Second, Done: map[int]bool{}}
	m := &job.Record{Spec: r, Shard: "n1", AcceptedMS: s.w.Now.UnixMilli()}
	m.ChooseLayout(2, 300, false)
	a := &frontend.Submission{Ctx: context.Background(), Record: m, Response: make(chan transport.Response, 1)}
	s.nodes[0].c.frontend.AcceptBatch(context.Background(), []*frontend.Submission{a}) // without asking who may read it
	for range 200 {
		s.round()
	}
	if !slices.ContainsFunc(s.w.Violations, func(b string) bool { return strings.HasPrefix(b, "attempts") }) {
		t.Fatalf("nobody sees that its tasks were placed one by one: %v", s.w.Violations)
	}
}

// taskRangePrefix is the prefix of the keys of task ranges.
const taskRangePrefix = statecache.LivePrefix + "t/"
