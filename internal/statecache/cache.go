package statecache

import (
	"encoding/json"
	"log/slog"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/store"
	"violetturn/internal/zonehealth"
)

func QuotaID(name string) string { return url.PathEscape(name) }

// Keys of the state service. All that lives is below live/, which every
// controller replicates; a job that is over leaves one record below past/, which
// is read when it is asked for.
const (
	LivePrefix        = "live/"
	JobPrefix         = LivePrefix + "j/" // + uid: main record
	TaskRangePrefix   = LivePrefix + "t/" // + uid/chunk, of jobs whose tasks don't fit the main record; uid/gN.chunk once they were divided N times
	CapacityPrefix    = LivePrefix + "p/" // + part: free-room record
	LeaderPrefix      = LivePrefix + "o/" // + part: owner, under its hold
	NodePrefix        = LivePrefix + "n/" // + node: alive, under its hold
	MachinePagePrefix = LivePrefix + "m/" // + what names of machines have in common: those machines
	QuotaPrefix       = LivePrefix + "q/" // + team: shares of its limit
	CapabilityPrefix  = LivePrefix + "v/" // + node: the forms of records that it reads; stays when the node ends
	ZonePrefix        = LivePrefix + "z/" // + zone: its health, while features.ZoneRecovery is on
	TermKey           = LivePrefix + "term"
	FinalStatePrefix  = "past/" // + uid
)

// Versioned is a record as replicated, with its version.
type Versioned[T any] struct {
	Record  *T
	Version uint64
	Size    int // bytes of its record
}

// RangeKey names a task range's record among those of its job.
type RangeKey struct{ Generation, Index int }

// Cache is this controller's copy of what lives in the state service. It is a
// cache: every decision that rests on it is committed under preconditions on the
// versions it rests on.
type Cache struct {
	log           *slog.Logger
	Loaded        bool              // all live records were read, and no change was missed since
	ChangesReadAt time.Time         // all changes until then are in
	loading       bool              // a full list is being taken in
	Revision      uint64            // all changes up to here are in
	Versions      map[string]uint64 // of present keys
	dropped       map[string]uint64 // of keys dropped at revisions that the watch has yet to reach
	Jobs          map[string]*Job
	Gangs         map[string]bool // those of them whose tasks start together
	// task ranges' records as they are, those of other divisions and of no job included
	TaskRanges                map[string]map[RangeKey]Versioned[job.TaskRange]
	Capacities                map[string]Versioned[shard.CapacityRecord]
	Leaders                   map[string]Versioned[shard.LeaderRecord]
	Nodes                     map[string]Versioned[shard.LeaderRecord]
	Capabilities              map[string]Versioned[shard.CapabilityRecord]
	Zones                     map[string]Versioned[zonehealth.Record]
	Pages                     map[string]Versioned[shard.Page]
	Machines                  map[string]*shard.Machine // of all pages
	Quotas                    map[string]Versioned[shard.QuotaRecord]
	Term                      uint64
	Cancellations             []cancellation                    // the last ones
	CancellationsCompleteFrom uint64                            // all after that revision are among them
	Placements                map[string]map[string]*PlacedTask // host -> task -> place
	SortedMachines            []string                          // of hosts, sorted; nil: to be sorted anew
	Loads                     map[string]*MachineLoad           // host -> what is placed there, while nothing changes there
	Images                    map[string]map[string]bool        // host -> images that tasks were put there with
	Terminated                map[string]bool                   // machines that were forgotten: they are gone for good
	observer                  Observer
}

// PlacedTask is one placement, found by its machine.
type PlacedTask struct {
	UID        string
	RangeIndex int
	Index      int // within the task range
	Placement  *job.Placement
}

func (noObserver) JobAdded(*job.Record) {}

func (noObserver) JobEnded(string, job.FinalState) {}

func (noObserver) TasksChanged(string) {}

func New(log *slog.Logger) *Cache {
	return &Cache{
		log:          log,
		Versions:     map[string]uint64{},
		dropped:      map[string]uint64{},
		Jobs:         map[string]*Job{},
		Gangs:        map[string]bool{},
		TaskRanges:   map[string]map[RangeKey]Versioned[job.TaskRange]{},
		Capabilities: map[string]Versioned[shard.CapabilityRecord]{},
		Zones:        map[string]Versioned[zonehealth.Record]{},
		Capacities:   map[string]Versioned[shard.CapacityRecord]{},
		Leaders:      map[string]Versioned[shard.LeaderRecord]{},
		Nodes:        map[string]Versioned[shard.LeaderRecord]{},
		Pages:        map[string]Versioned[shard.Page]{},
		Machines:     map[string]*shard.Machine{},
		Quotas:       map[string]Versioned[shard.QuotaRecord]{},
		Placements:   map[string]map[string]*PlacedTask{},
		Loads:        map[string]*MachineLoad{},
		Images:       map[string]map[string]bool{},
		Terminated:   map[string]bool{},
		observer:     noObserver{},
	}
}

// Apply takes in one change; raw is nil for a drop. Changes reach the replica
// from own commits, from the watch and from barriers, in no common order, so
// each key moves only forward. What is not newer than the revision up to which all
// is in comes from an answer that was beaten by a conflicting write on its way: a key that it writes may
// have been dropped since, and would come back as a ghost that no later change ever
// removes, failing every transaction that rests on it.
func (m *Cache) Apply(key string, raw json.RawMessage, version uint64) {
	m.applyRecord(key, raw, version, nil)
}

// applyRecord is the same for a change of this node's own, of which a shard's capacity record, the
// largest there is, need not be read again.
func (m *Cache) applyRecord(key string, raw json.RawMessage, version uint64, own *shard.CapacityRecord) {
	if version <= m.Revision && !m.loading {
		return
	}
	if version <= m.Versions[key] || version <= m.dropped[key] || !strings.HasPrefix(key, LivePrefix) {
		return
	}
	if raw == nil {
		delete(m.Versions, key)
		if version > m.Revision {
			m.dropped[key] = version
		}
	} else {
		m.Versions[key] = version
		delete(m.dropped, key)
	}
	if key == TermKey {
		m.Term = 0
		_ = json.Unmarshal(raw, &m.Term) // a term that can't be read fails the precondition of its next use
		return
	}
	if len(key) < len(JobPrefix) {
		return
	}
	kind, id := key[:len(JobPrefix)], key[len(JobPrefix):]
	var err error
	switch kind {
	case JobPrefix:
		err = m.applyJob(id, raw, version)
	case TaskRangePrefix:
		err = m.applyTaskRange(id, raw, version)
	case CapacityPrefix:
		if own != nil {
			m.Capacities[id] = Versioned[shard.CapacityRecord]{own, version, len(raw)}
		} else {
			err = applyTo(m.Capacities, id, raw, version)
		}
	case LeaderPrefix:
		err = applyTo(m.Leaders, id, raw, version)
	case NodePrefix:
		err = applyTo(m.Nodes, id, raw, version)
	case MachinePagePrefix:
		err = m.applyPage(id, raw, version)
	case QuotaPrefix:
		err = applyTo(m.Quotas, id, raw, version)
	case CapabilityPrefix:
		err = applyTo(m.Capabilities, id, raw, version)
	case ZonePrefix:
		err = applyTo(m.Zones, id, raw, version)
	}
	if err != nil {
		m.log.Error("record can't be read", "key", key, "err", err)
	}
}

func applyTo[T any](to map[string]Versioned[T], id string, raw json.RawMessage, version uint64) error {
	if raw == nil {
		delete(to, id)
		return nil
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return err
	}
	to[id] = Versioned[T]{v, version, len(raw)}
	return nil
}

// applyPage takes in a group of machines. A finer page stands for its machines
// before a coarser one that still names them.
func (m *Cache) applyPage(id string, raw json.RawMessage, version uint64) error {
	old := m.Pages[id]
	if err := applyTo(m.Pages, id, raw, version); err != nil {
		return err
	}
	m.SortedMachines = nil
	touched := map[string]bool{}
	note := func(p *shard.Page) {
		if p != nil {
			for host := range *p {
				touched[host] = true
			}
		}
	}
	note(old.Record)
	note(m.Pages[id].Record)
	if len(id) > 2 { // what it shadows of a coarser one, or does no more
		note(m.Pages[id[:len(id)-2]+"-"].Record)
	}
	for host := range touched {
		x, was := m.machineRecord(host), m.Machines[host]
		if x == nil {
			if was == nil {
				continue
			}
			delete(m.Machines, host)
			delete(m.Images, host)
			m.NoteTerminated(host)
			continue
		}
		if was != nil && x.Addr == "" {
			x.Addr = was.Addr // learned from a heartbeat or a list
		}
		m.Machines[host] = x
	}
	return nil
}

// MinTerminated is how many machines that are gone are remembered at the least: names of some
// ten bytes.
const MinTerminated = 8192

// NoteTerminated remembers that a machine is gone for good. Of more than several times the fleet
// the older half is forgotten: a late copy of a heartbeat is of one that went not long ago.
func (m *Cache) NoteTerminated(host string) {
	if most := max(MinTerminated, 4*len(m.Machines)); len(m.Terminated) >= most {
		names := slices.Sorted(maps.Keys(m.Terminated)) // in the order of their creation
		for _, name := range names[:len(names)/2] {
			delete(m.Terminated, name)
		}
	}
	m.Terminated[host] = true
}

// PageID names the page of a machine that leaves out so many characters of its name.
func PageID(host string, cut int) string { return host[:max(len(host)-cut, 0)] + "-" }

// CoarsestPageCut is how many characters of a machine's name the coarsest pages leave out.
const CoarsestPageCut = 2

// machineRecord returns a machine's record: of the finest page that there is for it, be the
// machine in it or not.
func (m *Cache) machineRecord(host string) *shard.Machine {
	for cut := 1; cut <= CoarsestPageCut; cut++ {
		if p := m.Pages[PageID(host, cut)].Record; p != nil {
			return (*p)[host]
		}
	}
	return nil
}

// PlacementKey names a placement within this process; the task's own name needs the
// task range size, which an orphan task range does not know.
func PlacementKey(uid string, chunk, i int) string {
	return uid + "/" + strconv.Itoa(chunk) + "/" + strconv.Itoa(i)
}

func (m *Cache) RemovePlacement(uid string, n, i int, p *job.Placement) {
	delete(m.Loads, p.Host)
	on := m.Placements[p.Host]
	delete(on, PlacementKey(uid, n, i))
	if len(on) == 0 {
		delete(m.Placements, p.Host)
	}
}

// MachineLoad is what is placed on a machine.
type MachineLoad struct {
	Used              sched.Resources    // of the tasks that are not over
	Stopping          sched.Resources    // of those of them that are on their way out
	RunningByPriority [4]sched.Resources // of the others, by rank
	Services, Arrays  int                // tasks that are not over, by their jobs' shape
	LastPlacedMS      int64              // when the last of the tasks was placed, in milliseconds of the time of day
}

// invalidateLoads has the loads of machines with tasks of a job worked out anew.
func (m *Cache) invalidateLoads(chunks map[int]Versioned[job.TaskRange]) {
	for _, ch := range chunks {
		for _, p := range ch.Record.Placements {
			delete(m.Loads, p.Host)
		}
	}
}

// MachineNames returns the names of all machines in order.
func (m *Cache) MachineNames() []string {
	if m.SortedMachines == nil {
		m.SortedMachines = slices.Sorted(maps.Keys(m.Machines))
	}
	return m.SortedMachines
}

// Advance notes that all changes up to epoch have been applied.
func (m *Cache) Advance(revision uint64) {
	if revision <= m.Revision {
		return
	}
	m.Revision = revision
	for k, s := range m.dropped {
		if s <= revision {
			delete(m.dropped, k)
		}
	}
}

// Reload takes in a full list whose first page was of revision.
func (m *Cache) Reload(items []store.Item, revision uint64) {
	m.loading = true // changes in between were missed: how a job ended is not known
	defer func() { m.loading = false }()
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		m.Apply(it.Key, it.Value, it.Version)
	}
	for k, s := range m.Versions {
		if !present[k] && s <= revision {
			m.Apply(k, nil, max(revision, s+1))
		}
	}
	m.Cancellations, m.CancellationsCompleteFrom = nil, revision // others were cancelled and are over already
	m.Advance(revision)
}

// ResourcesOf is the room that a task of the job takes.
func ResourcesOf(r *api.Job) sched.Resources {
	return sched.Resources{CPUs: r.CPUs, GPUs: r.GPUs, MemGB: r.MemGB}
}
