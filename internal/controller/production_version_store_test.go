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

// The record types of the version in production, field by field. It writes back what it has read,
// so a field that is not declared here is lost.
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
		HasWorkerContact   bool   `json:"h,omitempty"`
	}
	prodCapacityRecord struct {
		Term                 uint64                `json:"term"`
		Leader               string                `json:"by"`
		Released             bool                  `json:"rel,omitempty"`
		PredecessorMayAnswer bool                  `json:"d,omitempty"`
		Free                 json.RawMessage       `json:"free"`
		QuotaUse             map[string][3]float64 `json:"u,omitempty"`
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

// jobKinds keeps the kind of each job by key. The version in production treats a job of a kind that
// it does not support as an array, and writes the job's own kind back.
type jobKinds map[string]api.JobKind

// read returns a record as the version in production reads it, or nil for a type of record that
// it does not have.
func (s jobKinds) read(key string, raw json.RawMessage) json.RawMessage {
	if raw, _ = asProduction(key, raw); raw != nil && strings.HasPrefix(key, statecache.JobKey("")) {
		var record prodJobRecord
		_ = json.Unmarshal(raw, &record) // asProduction encoded it
		if s[key] = record.Spec.Kind; record.Spec.Kind != api.Service {
			record.Spec.Kind = api.Array
		}
		raw = api.MustMarshal(record)
	}
	return raw
}

// write returns a record that the version in production writes. A job's record gets the kind that
// was read.
func (s jobKinds) write(key string, raw json.RawMessage) json.RawMessage {
	if kind := s[key]; kind != "" && strings.HasPrefix(key, statecache.JobKey("")) {
		var record prodJobRecord
		_ = json.Unmarshal(raw, &record) // asProduction encoded it
		record.Spec.Kind = kind
		raw = api.MustMarshal(record)
	}
	return raw
}

// asProduction returns a record as the version in production writes it back, or nil for a type of
// record that it does not have.
func asProduction(key string, raw json.RawMessage) (json.RawMessage, error) {
	var record any
	switch {
	case strings.HasPrefix(key, statecache.JobKey("")):
		record = &prodJobRecord{}
	case strings.HasPrefix(key, taskRangePrefix):
		record = &prodTaskRange{}
	case strings.HasPrefix(key, statecache.CapacityKey("")):
		record = &prodCapacityRecord{}
	case strings.HasPrefix(key, statecache.LeaderKey("")), strings.HasPrefix(key, statecache.NodeKey("")):
		record = &prodLeaderRecord{}
	case strings.HasPrefix(key, statecache.MachinePageKey("")):
		record = &map[string]*prodMachine{}
	case strings.HasPrefix(key, statecache.QuotaKey("")):
		record = &prodQuotaRecord{}
	case strings.HasPrefix(key, statecache.CapabilityKey("")):
		return nil, nil
	default:
		return raw, nil
	}
	if err := json.Unmarshal(raw, record); err != nil {
		return nil, err
	}
	return api.MustMarshal(record), nil
}

// productionVersionStore restricts a controller to what the version in production reads and writes:
// fields and types of records that this version does not have are neither returned nor written.
type productionVersionStore struct {
	external.StateService
	kinds jobKinds
}

// List returns the items under a prefix, as the version in production reads them.
func (p *productionVersionStore) List(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	items, revision, err := p.StateService.List(ctx, prefix)
	var out []store.Item
	for _, item := range items {
		if item.Value = p.kinds.read(item.Key, item.Value); item.Value != nil {
			out = append(out, item)
		}
	}
	return out, revision, err
}

// Changes returns the changes under a prefix, as the version in production reads them.
func (p *productionVersionStore) Changes(ctx context.Context, prefix string, since uint64,
	block time.Duration,
) ([]store.Change, uint64, error) {
	changes, revision, err := p.StateService.Changes(ctx, prefix, since, block)
	var out []store.Change
	for _, change := range changes {
		if change.DeletedKey == "" {
			if change.Value = p.kinds.read(change.WrittenKey, change.Value); change.Value == nil {
				continue
			}
		}
		out = append(out, change)
	}
	return out, revision, err
}

// Commit commits a transaction, as the version in production writes its records.
func (p *productionVersionStore) Commit(ctx context.Context, txn *store.Txn, priority store.Priority) (store.CommitResult, error) {
	rewritten := &store.Txn{Preconditions: txn.Preconditions, Writes: []store.Write{}}
	for _, op := range txn.Writes {
		if op.DeleteKey == "" {
			value, err := asProduction(op.WriteKey, op.Value)
			if err != nil {
				panic(err)
			}
			if value == nil {
				continue
			}
			op.Value = p.kinds.write(op.WriteKey, value)
		}
		rewritten.Writes = append(rewritten.Writes, op)
	}
	return p.StateService.Commit(ctx, rewritten, priority)
}

// taskRangePrefix is the prefix of the keys of task ranges.
const taskRangePrefix = statecache.LivePrefix + "t/"
