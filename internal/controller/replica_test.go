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

// Answers of reads and of own transactions come in any order, some late. However
// they do, the replica holds what the state service holds once it has read all: a
// write that came after the drop of its key once left a ghost for good.
func TestReplicaWithLateAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := statecache.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
		type change struct {
			key   string
			drop  bool
			stamp uint64
		}
		var log []change
		there := map[string]uint64{}
		revision := uint64(0)
		take := func(c change) {
			if c.drop {
				m.Apply(c.key, nil, c.stamp)
			} else {
				m.Apply(c.key, api.JSON(shard.LeaderRecord{Term: c.stamp}), c.stamp)
			}
		}
		var late []func()
		read := func() func() {
			since, until := m.Revision, revision
			return func() {
				for _, c := range log {
					if c.stamp > since && c.stamp <= until {
						take(c)
					}
				}
				m.Advance(until)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				key := statecache.NodeKey(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")))
				revision++
				c := change{key, there[key] != 0 && rapid.Bool().Draw(t, "drop"), revision}
				if log = append(log, c); c.drop {
					delete(there, key)
				} else {
					there[key] = revision
				}
				if rapid.Bool().Draw(t, "own") {
					late = append(late, func() { take(c) })
				}
			},
			"read": func(_ *rapid.T) { late = append(late, read()) },
			"answer": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				f := late[i]
				late = append(late[:i], late[i+1:]...)
				f()
			},
		})
		for _, f := range late {
			f()
		}
		read()()
		if !maps.Equal(m.Versions, there) || len(m.Nodes) != len(there) {
			t.Fatalf("the replica has %v, the service %v", m.Versions, there)
		}
	})
}
