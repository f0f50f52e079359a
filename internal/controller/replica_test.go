package controller

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Responses of reads and of own transactions come in any order, some delayed. However they
// do, the replica holds what the state service holds once it has read all: a write that came
// after the drop of its key once left a ghost for good.
func TestReplicaWithDelayedResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReplicaModel()
		t.Repeat(map[string]func(*rapid.T){
			"change": m.change,
			"read":   func(_ *rapid.T) { m.delayed = append(m.delayed, m.read()) },
			"answer": m.deliver,
		})
		for _, deliver := range m.delayed {
			deliver()
		}
		m.read()()
		if !maps.Equal(m.replica.Versions, m.versions) || len(m.replica.Nodes) != len(m.versions) {
			t.Fatalf("the replica has %v, the service %v", m.replica.Versions, m.versions)
		}
	})
}

// keyChange is a change of a key.
type keyChange struct {
	key     string
	drop    bool
	version uint64
}

// replicaModel is a replica with a model of the state service that it replicates.
type replicaModel struct {
	replica  *statecache.Cache
	log      []keyChange
	versions map[string]uint64 // of the keys that there are
	revision uint64
	delayed  []func() // responses on their way
}

// newReplicaModel returns an empty replica of an empty state service.
func newReplicaModel() *replicaModel {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return &replicaModel{
		replica:  statecache.New(log),
		versions: map[string]uint64{},
	}
}

// apply has the replica take in a change.
func (m *replicaModel) apply(c keyChange) {
	if c.drop {
		m.replica.Apply(c.key, nil, c.version)
	} else {
		m.replica.Apply(c.key, api.MustMarshal(shard.NodeRecord{Term: c.version}), c.version)
	}
}

// read reads the changes that the replica lacks, and returns the delivery of the response.
func (m *replicaModel) read() func() {
	since, until := m.replica.Revision, m.revision
	return func() {
		for _, c := range m.log {
			if c.version > since && c.version <= until {
				m.apply(c)
			}
		}
		m.replica.AdvanceRevision(until)
	}
}

// change writes or drops a key. The response of an own transaction is delayed.
func (m *replicaModel) change(t *rapid.T) {
	key := statecache.NodeKey(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")))
	m.revision++
	c := keyChange{key, m.versions[key] != 0 && rapid.Bool().Draw(t, "drop"), m.revision}
	if m.log = append(m.log, c); c.drop {
		delete(m.versions, key)
	} else {
		m.versions[key] = m.revision
	}
	if rapid.Bool().Draw(t, "own") {
		m.delayed = append(m.delayed, func() { m.apply(c) })
	}
}

// deliver delivers one of the delayed responses.
func (m *replicaModel) deliver(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "which")
	deliver := m.delayed[i]
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
	deliver()
}
