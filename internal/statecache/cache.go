package statecache

import (
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"time"

	"violetturn/internal/job"
	"violetturn/internal/shard"
	"violetturn/internal/store"
	"violetturn/internal/zonehealth"
)

// Versioned is a cached record with the version of its key.
type Versioned[T any] struct {
	Record  *T // nil: there is no record
	Version uint64
	Size    int // encoded size in bytes
}

// Cache is the copy of the live records. Create it with New.
type Cache struct {
	Progress
	JobIndex
	MachineIndex
	PlacementIndex

	recordedTerm uint64 // the highest term ever issued, according to its own record
	Capacities   map[string]Versioned[shard.CapacityRecord]
	Leaders      map[string]Versioned[shard.LeaderRecord] // by shard
	Nodes        map[string]Versioned[shard.NodeRecord]   // running controllers
	Capabilities map[string]Versioned[shard.CapabilityRecord]
	Quotas       map[string]Versioned[shard.QuotaRecord] // by QuotaID
	Zones        map[string]Versioned[zonehealth.Record] // by ZoneID

	log      *slog.Logger
	observer Observer
}

// Progress is the point up to which the cache has applied changes.
type Progress struct {
	Loaded        bool              // all live records were read, and no change was missed since
	ChangesReadAt time.Time         // all changes made before this time are applied
	Revision      uint64            // all changes up to this revision are applied
	Versions      map[string]uint64 // versions of the existing keys

	loading         bool              // a full list is being applied
	deletedVersions map[string]uint64 // by deleted key: the revision of its deletion, if later than Revision
}

// Observer is notified of changes that other packages track. It is called while a change is
// applied, with the lock that guards the cache held.
type Observer interface {
	JobAdded(record *job.Record)               // a job was added
	JobEnded(uid string, final job.FinalState) // a job has ended
	TasksChanged(host string)                  // tasks on a machine were placed, or may have to start or stop
}

// nopObserver is the observer of a cache for which none was set.
type nopObserver struct{}

func (nopObserver) JobAdded(*job.Record) {}

func (nopObserver) JobEnded(string, job.FinalState) {}

func (nopObserver) TasksChanged(string) {}

// New returns an empty cache that is not loaded.
func New(log *slog.Logger) *Cache {
	return &Cache{
		Progress:       Progress{Versions: map[string]uint64{}, deletedVersions: map[string]uint64{}},
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
		observer:       nopObserver{},
	}
}

// SetObserver sets the observer that is notified of changes from now on.
func (c *Cache) SetObserver(o Observer) { c.observer = o }

// Apply applies one change; value is nil if the key was deleted. Changes come from this
// controller's commits, from the watch and from read barriers, without a common order, so a
// change that is not newer than the cached version of its key is ignored. A change at or below
// Revision comes from a late response and is ignored too: its key may have been deleted meanwhile.
// Applying it would restore the key, no later change would ever remove it, and every transaction
// based on it would fail.
func (c *Cache) Apply(key string, value json.RawMessage, version uint64) {
	c.applyRecord(key, value, version, nil)
}

// ApplyCommitted applies the changes of a transaction that was committed at the given revision.
func (c *Cache) ApplyCommitted(t *Transaction, revision uint64) {
	for key, value := range t.writes {
		c.applyRecord(key, value, revision, t.capacities[key])
	}
	for key := range t.deletes {
		c.Apply(key, nil, revision)
	}
}

// applyRecord is Apply with an already decoded capacity record, so that this largest kind of record
// need not be parsed again. capacity is nil unless this controller has just committed the record.
func (c *Cache) applyRecord(key string, value json.RawMessage, version uint64, capacity *shard.CapacityRecord) {
	if !c.isNewer(key, version) {
		return
	}
	c.recordVersion(key, value != nil, version)
	if key == TermKey {
		c.applyTerm(value)
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

// applyTerm applies a change of the record of the highest term. If it has no term, the cached one stays.
func (c *Cache) applyTerm(value json.RawMessage) {
	var term uint64
	if err := json.Unmarshal(value, &term); err != nil || term == 0 || term > shard.MaxTerm {
		c.log.Error("record can't be read", "key", TermKey, "err", errNoTerm)
		return
	}
	c.recordedTerm = term
}

// errNoTerm is the error of a term record without a term.
var errNoTerm = errors.New("no term")

// HighestTerm returns the highest term ever issued. The records of shards have it too, for the case that
// its own record is malformed: terms that begin again would be below the tokens that workers have.
func (c *Cache) HighestTerm() uint64 {
	highest := c.recordedTerm
	for _, capacity := range c.Capacities {
		if term := capacity.Record.Term; term <= shard.MaxTerm {
			highest = max(highest, term)
		}
	}
	return highest
}

// isNewer reports whether a key is that of a live record, and a change of it is newer than the cache.
func (c *Cache) isNewer(key string, version uint64) bool {
	if version <= c.Revision && !c.loading {
		return false
	}
	return version > c.Versions[key] && version > c.deletedVersions[key] && strings.HasPrefix(key, LivePrefix)
}

// recordVersion stores the version at which a key was written or deleted.
func (c *Cache) recordVersion(key string, present bool, version uint64) {
	if present {
		c.Versions[key] = version
		delete(c.deletedVersions, key)
		return
	}
	delete(c.Versions, key)
	if version > c.Revision {
		c.deletedVersions[key] = version
	}
}

// applyKind applies a change of a record of the given kind.
func (c *Cache) applyKind(kind, id string, value json.RawMessage, version uint64) error {
	switch kind {
	case jobPrefix:
		return c.applyJob(id, value, version)
	case taskRangePrefix:
		return c.applyTaskRange(id, value, version)
	case machinePagePrefix:
		return c.applyMachinePage(id, value, version)
	case capacityPrefix:
		return applyToMap(c.Capacities, id, value, version)
	case leaderPrefix:
		return applyToMap(c.Leaders, id, value, version)
	case nodePrefix:
		return applyToMap(c.Nodes, id, value, version)
	case quotaPrefix:
		return applyToMap(c.Quotas, id, value, version)
	case capabilityPrefix:
		return applyToMap(c.Capabilities, id, value, version)
	case zonePrefix:
		return applyToMap(c.Zones, id, value, version)
	}
	return nil // a kind of record that a later version of the program writes
}

// applyToMap applies a change of a record to a map of records. If the new record is malformed, the
// old one stays.
func applyToMap[T any](records map[string]Versioned[T], id string, value json.RawMessage, version uint64) error {
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

// AdvanceRevision records that all changes up to a revision have been applied.
func (c *Cache) AdvanceRevision(revision uint64) {
	if revision <= c.Revision {
		return
	}
	c.Revision = revision
	for key, version := range c.deletedVersions {
		if version <= revision {
			delete(c.deletedVersions, key)
		}
	}
}

// Reload applies a full list of the live records, which was requested at readAt and whose first
// page was read at the given revision. Since earlier changes may have been missed, the final states
// of jobs that are no longer listed are unknown and the observer is not notified of them.
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
	c.resetCancellations(revision)
	c.AdvanceRevision(revision)
	c.ChangesReadAt = readAt
	c.Loaded = true
}

// ApplyChanges applies the changes up to a revision, which were requested at readAt.
func (c *Cache) ApplyChanges(changes []store.Change, revision uint64, readAt time.Time) {
	for _, change := range changes {
		if change.DeletedKey != "" {
			c.Apply(change.DeletedKey, nil, change.Version)
		} else {
			c.Apply(change.WrittenKey, change.Value, change.Version)
		}
	}
	c.AdvanceRevision(revision)
	if readAt.After(c.ChangesReadAt) {
		c.ChangesReadAt = readAt
	}
}

// MarkNotLoaded marks the cache as not loaded because changes were missed: all records must be read
// again.
func (c *Cache) MarkNotLoaded() { c.Loaded = false }
