package leadership

import (
	"time"

	"violetturn/internal/schema"
	"violetturn/internal/shard"
)

// WorkerContact is what a node knows of whether its workers reach it. One that loses
// nothing but its workers keeps its lease and with it its shards, while the leases of
// all its workers run out: so it says that it is mute, hands its shards to peers in
// the orderly way and takes none until a worker has answered it.
type WorkerContact struct {
	LastHeard    time.Time // when a worker was last heard
	SilentSteps  int       // steps of the lease in a row without hearing one
	Unreachable  bool
	HearsWorkers bool // some worker is heard
}

// MinSilent is after how many steps of its lease without a sign of any worker a node is
// mute (one that stood still itself first hears again), and how many machines have
// to be silent: one or two are as likely lost themselves, and each change of owner
// starts the wait for the end of their leases anew.
const MinSilent = 3

// workersReach reports whether a node lives and is reached by workers.
func (l *Table) workersReach(node string) bool {
	n := l.cache.Nodes[node].Record
	return n != nil && !n.WorkersUnreachable
}

// NoteWorkerHeard notes that workers reach this node.
func (l *Table) NoteWorkerHeard(now time.Time) {
	if l.Contact.Unreachable {
		l.node.Log.Info("heartbeats reach this controller again")
	}
	l.Contact = WorkerContact{LastHeard: now, HearsWorkers: true}
}

// nodeRecord is what this node says of itself.
func (l *Table) nodeRecord() shard.LeaderRecord {
	return shard.LeaderRecord{
		Node:               l.node.Settings.HostName,
		Incarnation:        l.node.Incarnation,
		WorkersUnreachable: l.Contact.Unreachable,
		HearsWorkers:       l.Contact.HearsWorkers,
		SchemaVersion:      schema.Version,
		Features:           l.node.Features.Names(),
	}
}
