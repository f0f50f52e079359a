package controller

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/external"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// The structures into which the version in production reads records, field by field as
// it has them. It writes back what it read: a field that is not here is lost.
type (
	prodJobRecord struct {
		Spec           api.Job        `json:"r"`
		Shard          string         `json:"p"`
		AcceptedMS     int64          `json:"at"`
		RangeSize      int            `json:"k"`
		Cancelled      bool           `json:"w,omitempty"`
		FinishedRanges []int          `json:"f,omitempty"`
		Zone           string         `json:"z,omitempty"`
		Inline         bool           `json:"i,omitempty"`
		InlineRange    *prodTaskRange `json:"o,omitempty"`
	}
	prodPlacement struct {
		Attempt  uint64 `json:"t"`
		Host     string `json:"m"`
		Stopping bool   `json:"s,omitempty"`
		PlacedS  int64  `json:"a,omitempty"`
	}
	prodTaskRange struct {
		LastAttempt uint64                 `json:"c,omitempty"`
		Errors      int                    `json:"e,omitempty"`
		DoneBits    string                 `json:"d,omitempty"`
		Placements  map[int]*prodPlacement `json:"p,omitempty"`
	}
	prodLeaderRecord struct {
		Node               string `json:"node"`
		Incarnation        uint64 `json:"inc"`
		Term               uint64 `json:"term"`
		WorkersUnreachable bool   `json:"m,omitempty"`
		HearsWorkers       bool   `json:"h,omitempty"`
	}
	prodCapacityRecord struct {
		Term               uint64                `json:"term"`
		Leader             string                `json:"by"`
		Released           bool                  `json:"rel,omitempty"`
		PredecessorInDoubt bool                  `json:"d,omitempty"`
		Free               json.RawMessage       `json:"free"`
		QuotaUse           map[string][3]float64 `json:"u,omitempty"`
	}
	prodMachine struct {
		Shard        string `json:"p"`
		MachineType  string `json:"b"`
		Zone         string `json:"s"`
		Spot         bool   `json:"l,omitempty"`
		Addr         string `json:"a,omitempty"`
		RentedFor    string `json:"f,omitempty"`
		RegisteredMS int64  `json:"at"`
	}
	prodQuotaRecord struct {
		Held map[string][3]float64 `json:"u"`
	}
)

// jobKinds keeps what kind a job is of, by key: a kind that the version in production
// doesn't know it takes for an array, and writes back under its name.
type jobKinds map[string]api.JobKind

// read returns a record as the version in production reads it, nil for one that it does not
// know.
func (s jobKinds) read(key string, raw json.RawMessage) json.RawMessage {
	if raw, _ = asProduction(key, raw); raw != nil && strings.HasPrefix(key, statecache.JobKey("")) {
		var m prodJobRecord
		_ = json.Unmarshal(raw, &m) // asProduction wrote it
		if s[key] = m.Spec.Kind; m.Spec.Kind != api.Service {
			m.Spec.Kind = api.Array
		}
		raw = api.MustMarshal(m)
	}
	return raw
}

// write returns a record that the version in production writes, with the kind that was read.
func (s jobKinds) write(key string, raw json.RawMessage) json.RawMessage {
	if was := s[key]; was != "" && strings.HasPrefix(key, statecache.JobKey("")) {
		var m prodJobRecord
		_ = json.Unmarshal(raw, &m) // asProduction wrote it
		m.Spec.Kind = was
		raw = api.MustMarshal(m)
	}
	return raw
}

// asProduction returns a record as the version in production writes it back, nil for one
// that it doesn't know.
func asProduction(key string, raw json.RawMessage) (json.RawMessage, error) {
	var v any
	switch {
	case strings.HasPrefix(key, statecache.JobKey("")):
		v = &prodJobRecord{}
	case strings.HasPrefix(key, taskRangePrefix):
		v = &prodTaskRange{}
	case strings.HasPrefix(key, statecache.CapacityKey("")):
		v = &prodCapacityRecord{}
	case strings.HasPrefix(key, statecache.LeaderKey("")), strings.HasPrefix(key, statecache.NodeKey("")):
		v = &prodLeaderRecord{}
	case strings.HasPrefix(key, statecache.MachinePageKey("")):
		v = &map[string]*prodMachine{}
	case strings.HasPrefix(key, statecache.QuotaKey("")):
		v = &prodQuotaRecord{}
	case strings.HasPrefix(key, statecache.CapabilityKey("")):
		return nil, nil
	default:
		return raw, nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, err
	}
	return api.MustMarshal(v), nil
}

// productionVersionStore makes a controller's view of the state service that of the version
// in production: it sees no fields, and no kinds of records, that this doesn't know,
// and writes none.
type productionVersionStore struct {
	external.StateService
	kinds jobKinds
}

// List reads the keys with a prefix, as the version in production does.
func (p *productionVersionStore) List(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	items, revision, err := p.StateService.List(ctx, prefix)
	var out []store.Item
	for _, it := range items {
		if it.Value = p.kinds.read(it.Key, it.Value); it.Value != nil {
			out = append(out, it)
		}
	}
	return out, revision, err
}

// Changes reads changes, as the version in production does.
func (p *productionVersionStore) Changes(ctx context.Context, prefix string, since uint64, block time.Duration) ([]store.Change, uint64, error) {
	log, revision, err := p.StateService.Changes(ctx, prefix, since, block)
	var out []store.Change
	for _, e := range log {
		if e.DeletedKey == "" {
			if e.Value = p.kinds.read(e.WrittenKey, e.Value); e.Value == nil {
				continue
			}
		}
		out = append(out, e)
	}
	return out, revision, err
}

// Commit commits a transaction, as the version in production does.
func (p *productionVersionStore) Commit(ctx context.Context, t *store.Txn, r store.Priority) (store.CommitResult, error) {
	u := &store.Txn{Preconditions: t.Preconditions, Ops: []store.Op{}}
	for _, op := range t.Ops {
		if op.DeleteKey == "" {
			v, err := asProduction(op.WriteKey, op.Value)
			if err != nil {
				panic(err)
			}
			if v == nil {
				continue
			}
			op.Value = p.kinds.write(op.WriteKey, v)
		}
		u.Ops = append(u.Ops, op)
	}
	return p.StateService.Commit(ctx, u, r)
}

// taskRangePrefix is the prefix of the keys of task ranges.
const taskRangePrefix = statecache.LivePrefix + "t/"
