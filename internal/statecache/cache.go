package statecache

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"violetturn/internal/job"
	"violetturn/internal/shard"
	"violetturn/internal/store"
	"violetturn/internal/zonehealth"
)

// Versioned is a record as the cache has it, with the version of its key.
type Versioned[T any] struct {
	Record  *T // nil: there is none
	Version uint64
	Size    int // bytes of the recorded form
}

// Cache is the copy of the live records. Use New.
type Cache struct {
	Progress
	JobIndex
	MachineIndex
	PlacementIndex

	HighestTerm  uint64 // the highest that was ever given out
	Capacities   map[string]Versioned[shard.CapacityRecord]
	Leaders      map[string]Versioned[shard.LeaderRecord] // by shard
	Nodes        map[string]Versioned[shard.NodeRecord]   // living controllers
	Capabilities map[string]Versioned[shard.CapabilityRecord]
	Quotas       map[string]Versioned[shard.QuotaRecord] // by QuotaID
	Zones        map[string]Versioned[zonehealth.Record] // by ZoneID

	log      *slog.Logger
	observer Observer
}

// Progress is up to where the cache has taken changes in.
type Progress struct {
	Loaded        bool              // all live records were read, and no change was missed since
	ChangesReadAt time.Time         // all changes until then are in
	Revision      uint64            // all changes up to here are in
	Versions      map[string]uint64 // of present keys

	loading bool              // a full list is being taken in
	dropped map[string]uint64 // versions of keys dropped at revisions beyond Revision
}

// Observer hears of changes that others than the cache keep track of. It is called while a
// change is taken in, under whatever guards the cache.
type Observer interface {
	JobAdded(record *job.Record)               // a job has appeared
	JobEnded(uid string, final job.FinalState) // a job is over
	TasksChanged(host string)                  // tasks were placed on a machine, or are to stop
}

// noObserver is the observer of a cache that nobody observes.
type noObserver struct{}

func (noObserver) JobAdded(*job.Record) {}

func (noObserver) JobEnded(string, job.FinalState) {}

func (noObserver) TasksChanged(string) {}

// New makes an empty cache that is not loaded.
func New(log *slog.Logger) *Cache {
	return &Cache{
		Progress:       Progress{Versions: map[string]uint64{}, dropped: map[string]uint64{}},
		JobIndex:       newJobIndex(),
		MachineIndex:   newMachineIndex(),
		PlacementIndex: newPlacementIndex(),
		Capacities:     map[string]Versioned[shard.CapacityRecord]{},
		Leaders:        map[string]Versioned[shard.LeaderRecord]{},
		Nodes:          map[string]Versioned[shard.NodeRecord]{},
		Capabilities:   map[string]Versioned[shard.CapabilityRecord]{},
		Quotas:         map[string]Versioned[shard.QuotaRecord]{},
		Zones:          map[string]Versioned[zonehealth.Record]{},
		log:            log,
		observer:       noObserver{},
	}
}

// SetObserver has an observer hear of the changes from now on.
func (c *Cache) SetObserver(o Observer) { c.observer = o }

// Apply takes in one change; value is nil if the key was dropped. Changes reach the cache
// from own commits, from the watch and from read barriers, in no common order, so each key
// moves only forward. A change that is not newer than the revision up to which all is in
// comes from an answer that was late: a key that it writes may have been dropped since,
// would come back, and no later change would ever remove it, so that every transaction that
// rests on it would fail.
func (c *Cache) Apply(key string, value json.RawMessage, version uint64) {
	c.applyRecord(key, value, version, nil)
}

// ApplyCommitted takes in a transaction that was committed at a revision.
func (c *Cache) ApplyCommitted(t *Transaction, revision uint64) {
	for key, value := range t.writes {
		c.applyRecord(key, value, revision, t.capacities[key])
	}
	for key := range t.deletes {
		c.Apply(key, nil, revision)
	}
}

// applyRecord is Apply for a change whose capacity record, the largest there is, need not be
// parsed again: capacity is nil for others than own commits.
func (c *Cache) applyRecord(key string, value json.RawMessage, version uint64, capacity *shard.CapacityRecord) {
	if !c.accepts(key, version) {
		return
	}
	c.noteVersion(key, value != nil, version)
	if key == TermKey {
		c.HighestTerm = 0
		_ = json.Unmarshal(value, &c.HighestTerm) // a term that can't be read fails the precondition of its next use
		return
	}
	if len(key) < len(jobPrefix) {
		return
	}
	kind, id := key[:len(jobPrefix)], key[len(jobPrefix):]
	if kind == capacityPrefix && capacity != nil {
		c.Capacities[id] = Versioned[shard.CapacityRecord]{capacity, version, len(value)}
		return
	}
	if err := c.applyKind(kind, id, value, version); err != nil {
		c.log.Error("record can't be read", "key", key, "err", err)
	}
}

// accepts reports whether a change is news.
func (c *Cache) accepts(key string, version uint64) bool {
	if version <= c.Revision && !c.loading {
		return false
	}
	return version > c.Versions[key] && version > c.dropped[key] && strings.HasPrefix(key, LivePrefix)
}

// noteVersion notes the version at which a key was written, or dropped.
func (c *Cache) noteVersion(key string, present bool, version uint64) {
	if present {
		c.Versions[key] = version
		delete(c.dropped, key)
		return
	}
	delete(c.Versions, key)
	if version > c.Revision {
		c.dropped[key] = version
	}
}

// applyKind takes in a change of a record of one kind.
func (c *Cache) applyKind(kind, id string, value json.RawMessage, version uint64) error {
	switch kind {
	case jobPrefix:
		return c.applyJob(id, value, version)
	case taskRangePrefix:
		return c.applyTaskRange(id, value, version)
	case machinePagePrefix:
		return c.applyPage(id, value, version)
	case capacityPrefix:
		return applyTo(c.Capacities, id, value, version)
	case leaderPrefix:
		return applyTo(c.Leaders, id, value, version)
	case nodePrefix:
		return applyTo(c.Nodes, id, value, version)
	case quotaPrefix:
		return applyTo(c.Quotas, id, value, version)
	case capabilityPrefix:
		return applyTo(c.Capabilities, id, value, version)
	case zonePrefix:
		return applyTo(c.Zones, id, value, version)
	}
	return nil // of a later version
}

// applyTo takes a change of a record into a map of records. A record that can't be read
// leaves what there is.
func applyTo[T any](records map[string]Versioned[T], id string, value json.RawMessage, version uint64) error {
	if value == nil {
		delete(records, id)
		return nil
	}
	record := new(T)
	if err := json.Unmarshal(value, record); err != nil {
		return err
	}
	records[id] = Versioned[T]{record, version, len(value)}
	return nil
}

// AdvanceRevision notes that all changes up to a revision have been applied.
func (c *Cache) AdvanceRevision(revision uint64) {
	if revision <= c.Revision {
		return
	}
	c.Revision = revision
	for key, version := range c.dropped {
		if version <= revision {
			delete(c.dropped, key)
		}
	}
}

// Reload takes in a full list that was asked for at a time, and whose first page was of a
// revision. Changes in between may have been missed: how jobs ended is not known.
func (c *Cache) Reload(items []store.Item, revision uint64, readAt time.Time) {
	c.loading = true
	defer func() { c.loading = false }()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		c.Apply(item.Key, item.Value, item.Version)
	}
	for key, version := range c.Versions {
		if !present[key] && version <= revision {
			c.Apply(key, nil, max(revision, version+1))
		}
	}
	c.forgetCancellations(revision)
	c.AdvanceRevision(revision)
	c.ChangesReadAt = readAt
	c.Loaded = true
}

// ApplyChanges takes in the changes up to a revision, which were asked for at a time.
func (c *Cache) ApplyChanges(changes []store.Change, revision uint64, readAt time.Time) {
	for _, change := range changes {
		if change.Drop != "" {
			c.Apply(change.Drop, nil, change.Version)
		} else {
			c.Apply(change.Write, change.Value, change.Version)
		}
	}
	c.AdvanceRevision(revision)
	if readAt.After(c.ChangesReadAt) {
		c.ChangesReadAt = readAt
	}
}

// MarkNotLoaded notes that changes were missed: all records are to be read anew.
func (c *Cache) MarkNotLoaded() { c.Loaded = false }
