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

// Responses to reads and to this controller's transactions arrive in any order, some delayed. In
// every order the cache equals the state service once it has read all changes. The delayed response
// to a write, received after the key was deleted, once left the deleted key in the cache for good.
func TestCacheWithDelayedResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newCacheModel()
		t.Repeat(map[string]func(*rapid.T){
			"change": model.change,
			"read":   func(_ *rapid.T) { model.delayedResponses = append(model.delayedResponses, model.read()) },
			"answer": model.deliver,
		})
		for _, deliver := range model.delayedResponses {
			deliver()
		}
		model.read()()
		if !maps.Equal(model.cache.Versions, model.storeVersions) || len(model.cache.Nodes) != len(model.storeVersions) {
			t.Fatalf("cache has versions %v, want %v as in the state service", model.cache.Versions, model.storeVersions)
		}
	})
}

// keyChange is a write or deletion of a key.
type keyChange struct {
	key     string
	deleted bool
	version uint64
}

// cacheModel is a cache with a model of the state service that it caches.
type cacheModel struct {
	cache            *statecache.Cache
	changes          []keyChange
	storeVersions    map[string]uint64 // versions of the existing keys
	revision         uint64
	delayedResponses []func() // deliveries of responses that have not arrived yet
}

// newCacheModel returns an empty cache of an empty state service.
func newCacheModel() *cacheModel {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return &cacheModel{
		cache:         statecache.New(log),
		storeVersions: map[string]uint64{},
	}
}

// apply applies a change to the cache.
func (m *cacheModel) apply(change keyChange) {
	if change.deleted {
		m.cache.Apply(change.key, nil, change.version)
	} else {
		m.cache.Apply(change.key, api.MustMarshal(shard.NodeRecord{Term: change.version}), change.version)
	}
}

// read reads the changes that the cache lacks, and returns a function that delivers the response.
func (m *cacheModel) read() func() {
	from, until := m.cache.Revision, m.revision
	return func() {
		for _, change := range m.changes {
			if change.version > from && change.version <= until {
				m.apply(change)
			}
		}
		m.cache.AdvanceRevision(until)
	}
}

// change writes or deletes a key. If this controller sent the transaction, the response to it is
// delayed.
func (m *cacheModel) change(t *rapid.T) {
	key := statecache.NodeKey(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")))
	m.revision++
	change := keyChange{key, m.storeVersions[key] != 0 && rapid.Bool().Draw(t, "drop"), m.revision}
	if m.changes = append(m.changes, change); change.deleted {
		delete(m.storeVersions, key)
	} else {
		m.storeVersions[key] = m.revision
	}
	if rapid.Bool().Draw(t, "own") {
		m.delayedResponses = append(m.delayedResponses, func() { m.apply(change) })
	}
}

// deliver delivers a drawn delayed response.
func (m *cacheModel) deliver(t *rapid.T) {
	if len(m.delayedResponses) == 0 {
		t.Skip("no delayed response")
	}
	i := rapid.IntRange(0, len(m.delayedResponses)-1).Draw(t, "which")
	deliver := m.delayedResponses[i]
	m.delayedResponses = append(m.delayedResponses[:i], m.delayedResponses[i+1:]...)
	deliver()
}
