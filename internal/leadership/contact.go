package leadership

import (
	"time"

	"violetturn/internal/logkey"
)

// workerContact is what this node knows of whether its workers reach it. It guards against a
// node that loses nothing but its workers: it would keep its lease and with it its shards, while
// the leases of all its workers run out. So it says in its record that workers don't reach it,
// releases its shards to peers in the orderly way, and acquires none until a worker has answered
// it.
type workerContact struct {
	lastHeard    time.Time // when a worker was last heard
	silentSteps  int       // steps of the lease in a row without hearing one
	unreachable  bool      // enough workers that should be heard were not, for enough steps
	hearsWorkers bool      // some worker is heard
}

// MinSilent is after how many steps of its lease without a sign of any worker a node counts as
// unreachable (one that was suspended itself first hears again), and how many machines have
// to be silent: one or two are as likely lost themselves, and each change of the leader
// starts the wait for the end of their leases anew.
const MinSilent = 3

// reachedByWorkers reports whether a node lives and workers reach it.
func (t *Table) reachedByWorkers(node string) bool {
	record := t.cache.Nodes[node].Record
	return record != nil && !record.WorkersUnreachable
}

// NoteWorkerHeard notes that workers reach this node.
func (t *Table) NoteWorkerHeard(now time.Time) {
	if t.contact.unreachable {
		t.node.Log.Info("heartbeats reach this controller again")
	}
	t.contact = workerContact{lastHeard: now, hearsWorkers: true}
}

// ResetWorkerContact counts the contact as made: there is no worker that could be heard.
func (t *Table) ResetWorkerContact(now time.Time) { t.contact = workerContact{lastHeard: now} }

// WorkersUnreachable reports whether no worker reaches this node although some should.
func (t *Table) WorkersUnreachable() bool { return t.contact.unreachable }

// WorkerHeardSince reports whether workers reach this node and one was heard at the given time or later.
func (t *Table) WorkerHeardSince(since time.Time) bool {
	return !t.contact.unreachable && !t.contact.lastHeard.Before(since)
}

// CheckSilence judges with a step of the lease whether workers reach this node.
// countExpected returns how many workers should be heard; it is called only when that matters.
func (t *Table) CheckSilence(now time.Time, countExpected func() int) {
	round := t.node.Settings.HeartbeatInterval() * 5 / 4 // whoever sends heartbeats at all has done so in that time
	if now.Sub(t.contact.lastHeard) <= round {
		t.contact.silentSteps = 0
		return
	}
	t.contact.silentSteps++
	if t.contact.silentSteps < MinSilent {
		return
	}
	t.contact.hearsWorkers = false
	if countExpected() >= MinSilent {
		t.contact.unreachable = true
		t.node.Log.Info("no heartbeat reaches this controller", logkey.LastHeard(t.contact.lastHeard))
	}
}

// PeerHearsWorkers reports whether another living controller says that it hears workers.
func (t *Table) PeerHearsWorkers() bool {
	for _, controller := range t.node.Shards {
		record := t.cache.Nodes[controller].Record
		if controller != t.node.Settings.HostName && record != nil && record.HearsWorkers {
			return true
		}
	}
	return false
}
