package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
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

// Keys of the state service. All that lives is below live/, which every
// controller replicates; a job that is over leaves one record below past/, which
// is read when it is asked for.
const (
	livePrefix        = "live/"
	jobPrefix         = livePrefix + "j/" // + uid: main record
	taskRangePrefix   = livePrefix + "t/" // + uid/chunk, of jobs whose tasks don't fit the main record; uid/gN.chunk once they were divided N times
	capacityPrefix    = livePrefix + "p/" // + part: free-room record
	leaderPrefix      = livePrefix + "o/" // + part: owner, under its hold
	nodePrefix        = livePrefix + "n/" // + node: alive, under its hold
	machinePagePrefix = livePrefix + "m/" // + what names of machines have in common: those machines
	quotaPrefix       = livePrefix + "q/" // + team: shares of its limit
	capabilityPrefix  = livePrefix + "v/" // + node: the forms of records that it reads; stays when the node ends
	zonePrefix        = livePrefix + "z/" // + zone: its health, while features.ZoneRecovery is on
	termKey           = livePrefix + "term"
	finalStatePrefix  = "past/" // + uid
)

// cached is a record as replicated, with its version.
type cached[T any] struct {
	record  *T
	version uint64
	size    int // bytes of its record
}

// rangeGeneration names a task range's record among those of its job.
type rangeGeneration struct{ generation, index int }

// replica is this controller's copy of what lives in the state service. It is a
// cache: every decision that rests on it is committed under preconditions on the
// versions it rests on.
type replica struct {
	log           *slog.Logger
	loaded        bool              // all live records were read, and no change was missed since
	changesReadAt time.Time         // all changes until then are in
	loading       bool              // a full list is being taken in
	revision      uint64            // all changes up to here are in
	versions      map[string]uint64 // of present keys
	dropped       map[string]uint64 // of keys dropped at revisions that the watch has yet to reach
	jobs          map[string]*liveJob
	gangs         map[string]bool // those of them whose tasks start together
	// task ranges' records as they are, those of other divisions and of no job included
	taskRanges                map[string]map[rangeGeneration]cached[job.TaskRange]
	capacities                map[string]cached[shard.CapacityRecord]
	leaders                   map[string]cached[shard.LeaderRecord]
	nodes                     map[string]cached[shard.LeaderRecord]
	capabilities              map[string]cached[shard.CapabilityRecord]
	zones                     map[string]cached[zonehealth.Record]
	pages                     map[string]cached[shard.Page]
	machines                  map[string]*shard.Machine // of all pages
	quotas                    map[string]cached[shard.QuotaRecord]
	term                      uint64
	cancellations             []cancellation                    // the last ones
	cancellationsCompleteFrom uint64                            // all after that revision are among them
	placements                map[string]map[string]*placedTask // host -> task -> place
	sortedMachines            []string                          // of hosts, sorted; nil: to be sorted anew
	loads                     map[string]*machineLoad           // host -> what is placed there, while nothing changes there
	images                    map[string]map[string]bool        // host -> images that tasks were put there with
	terminated                map[string]bool                   // machines that were forgotten: they are gone for good
	observer                  observer
}

// placedTask is one placement, found by its machine.
type placedTask struct {
	uid        string
	rangeIndex int
	index      int // within the task range
	placement  *job.Placement
}

// observer hears of changes that others than the cache keep track of. It is called while a
// change is taken in, with whatever guards the cache.
type observer interface {
	JobAdded(record *job.Record)               // a job has appeared
	JobEnded(uid string, final job.FinalState) // a job is over
	TasksChanged(host string)                  // tasks were placed on a machine, or are to stop
}

// noObserver is the observer of a cache that nobody observes.
type noObserver struct{}

func (noObserver) JobAdded(*job.Record) {}

func (noObserver) JobEnded(string, job.FinalState) {}

func (noObserver) TasksChanged(string) {}

// observe has an observer hear of the changes from now on.
func (m *replica) observe(o observer) { m.observer = o }

func newReplica(log *slog.Logger) *replica {
	return &replica{
		log:          log,
		versions:     map[string]uint64{},
		dropped:      map[string]uint64{},
		jobs:         map[string]*liveJob{},
		gangs:        map[string]bool{},
		taskRanges:   map[string]map[rangeGeneration]cached[job.TaskRange]{},
		capabilities: map[string]cached[shard.CapabilityRecord]{},
		zones:        map[string]cached[zonehealth.Record]{},
		capacities:   map[string]cached[shard.CapacityRecord]{},
		leaders:      map[string]cached[shard.LeaderRecord]{},
		nodes:        map[string]cached[shard.LeaderRecord]{},
		pages:        map[string]cached[shard.Page]{},
		machines:     map[string]*shard.Machine{},
		quotas:       map[string]cached[shard.QuotaRecord]{},
		placements:   map[string]map[string]*placedTask{},
		loads:        map[string]*machineLoad{},
		images:       map[string]map[string]bool{},
		terminated:   map[string]bool{},
		observer:     noObserver{},
	}
}

// apply takes in one change; raw is nil for a drop. Changes reach the replica
// from own commits, from the watch and from barriers, in no common order, so
// each key moves only forward. What is not newer than the revision up to which all
// is in comes from an answer that was beaten by a conflicting write on its way: a key that it writes may
// have been dropped since, and would come back as a ghost that no later change ever
// removes, failing every transaction that rests on it.
func (m *replica) apply(key string, raw json.RawMessage, version uint64) {
	m.applyRecord(key, raw, version, nil)
}

// applyRecord is the same for a change of this node's own, of which a shard's capacity record, the
// largest there is, need not be read again.
func (m *replica) applyRecord(key string, raw json.RawMessage, version uint64, own *shard.CapacityRecord) {
	if version <= m.revision && !m.loading {
		return
	}
	if version <= m.versions[key] || version <= m.dropped[key] || !strings.HasPrefix(key, livePrefix) {
		return
	}
	if raw == nil {
		delete(m.versions, key)
		if version > m.revision {
			m.dropped[key] = version
		}
	} else {
		m.versions[key] = version
		delete(m.dropped, key)
	}
	if key == termKey {
		m.term = 0
		_ = json.Unmarshal(raw, &m.term) // a term that can't be read fails the precondition of its next use
		return
	}
	if len(key) < len(jobPrefix) {
		return
	}
	kind, id := key[:len(jobPrefix)], key[len(jobPrefix):]
	var err error
	switch kind {
	case jobPrefix:
		err = m.applyJob(id, raw, version)
	case taskRangePrefix:
		err = m.applyTaskRange(id, raw, version)
	case capacityPrefix:
		if own != nil {
			m.capacities[id] = cached[shard.CapacityRecord]{own, version, len(raw)}
		} else {
			err = applyTo(m.capacities, id, raw, version)
		}
	case leaderPrefix:
		err = applyTo(m.leaders, id, raw, version)
	case nodePrefix:
		err = applyTo(m.nodes, id, raw, version)
	case machinePagePrefix:
		err = m.applyPage(id, raw, version)
	case quotaPrefix:
		err = applyTo(m.quotas, id, raw, version)
	case capabilityPrefix:
		err = applyTo(m.capabilities, id, raw, version)
	case zonePrefix:
		err = applyTo(m.zones, id, raw, version)
	}
	if err != nil {
		m.log.Error("record can't be read", "key", key, "err", err)
	}
}

func applyTo[T any](to map[string]cached[T], id string, raw json.RawMessage, version uint64) error {
	if raw == nil {
		delete(to, id)
		return nil
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return err
	}
	to[id] = cached[T]{v, version, len(raw)}
	return nil
}

// applyPage takes in a group of machines. A finer page stands for its machines
// before a coarser one that still names them.
func (m *replica) applyPage(id string, raw json.RawMessage, version uint64) error {
	old := m.pages[id]
	if err := applyTo(m.pages, id, raw, version); err != nil {
		return err
	}
	m.sortedMachines = nil
	touched := map[string]bool{}
	note := func(p *shard.Page) {
		if p != nil {
			for host := range *p {
				touched[host] = true
			}
		}
	}
	note(old.record)
	note(m.pages[id].record)
	if len(id) > 2 { // what it shadows of a coarser one, or does no more
		note(m.pages[id[:len(id)-2]+"-"].record)
	}
	for host := range touched {
		x, was := m.machineRecord(host), m.machines[host]
		if x == nil {
			if was == nil {
				continue
			}
			delete(m.machines, host)
			delete(m.images, host)
			m.noteTerminated(host)
			continue
		}
		if was != nil && x.Addr == "" {
			x.Addr = was.Addr // learned from a heartbeat or a list
		}
		m.machines[host] = x
	}
	return nil
}

// minTerminated is how many machines that are gone are remembered at the least: names of some
// ten bytes.
const minTerminated = 8192

// noteTerminated remembers that a machine is gone for good. Of more than several times the fleet
// the older half is forgotten: a late copy of a heartbeat is of one that went not long ago.
func (m *replica) noteTerminated(host string) {
	if most := max(minTerminated, 4*len(m.machines)); len(m.terminated) >= most {
		names := slices.Sorted(maps.Keys(m.terminated)) // in the order of their creation
		for _, name := range names[:len(names)/2] {
			delete(m.terminated, name)
		}
	}
	m.terminated[host] = true
}

// pageID names the page of a machine that leaves out so many characters of its name.
func pageID(host string, cut int) string { return host[:max(len(host)-cut, 0)] + "-" }

// coarsestPageCut is how many characters of a machine's name the coarsest pages leave out.
const coarsestPageCut = 2

// machineRecord returns a machine's record: of the finest page that there is for it, be the
// machine in it or not.
func (m *replica) machineRecord(host string) *shard.Machine {
	for cut := 1; cut <= coarsestPageCut; cut++ {
		if p := m.pages[pageID(host, cut)].record; p != nil {
			return (*p)[host]
		}
	}
	return nil
}

// placementKey names a placement within this process; the task's own name needs the
// task range size, which an orphan task range does not know.
func placementKey(uid string, chunk, i int) string {
	return uid + "/" + strconv.Itoa(chunk) + "/" + strconv.Itoa(i)
}

func (m *replica) removePlacement(uid string, n, i int, p *job.Placement) {
	delete(m.loads, p.Host)
	on := m.placements[p.Host]
	delete(on, placementKey(uid, n, i))
	if len(on) == 0 {
		delete(m.placements, p.Host)
	}
}

// machineLoad is what is placed on a machine.
type machineLoad struct {
	used              sched.Resources    // of the tasks that are not over
	stopping          sched.Resources    // of those of them that are on their way out
	runningByPriority [4]sched.Resources // of the others, by rank
	services, arrays  int                // tasks that are not over, by their jobs' shape
	lastPlacedMS      int64              // when the last of the tasks was placed, in milliseconds of the time of day
}

// invalidateLoads has the loads of machines with tasks of a job worked out anew.
func (m *replica) invalidateLoads(chunks map[int]cached[job.TaskRange]) {
	for _, ch := range chunks {
		for _, p := range ch.record.Placements {
			delete(m.loads, p.Host)
		}
	}
}

// machineNames returns the names of all machines in order.
func (m *replica) machineNames() []string {
	if m.sortedMachines == nil {
		m.sortedMachines = slices.Sorted(maps.Keys(m.machines))
	}
	return m.sortedMachines
}

// advance notes that all changes up to epoch have been applied.
func (m *replica) advance(revision uint64) {
	if revision <= m.revision {
		return
	}
	m.revision = revision
	for k, s := range m.dropped {
		if s <= revision {
			delete(m.dropped, k)
		}
	}
}

// reload takes in a full list whose first page was of revision.
func (m *replica) reload(items []store.Item, revision uint64) {
	m.loading = true // changes in between were missed: how a job ended is not known
	defer func() { m.loading = false }()
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		m.apply(it.Key, it.Value, it.Version)
	}
	for k, s := range m.versions {
		if !present[k] && s <= revision {
			m.apply(k, nil, max(revision, s+1))
		}
	}
	m.cancellations, m.cancellationsCompleteFrom = nil, revision // others were cancelled and are over already
	m.advance(revision)
}

// taskName is the task's name on the wire.
func (pl *placedTask) taskName(j *liveJob) string {
	return api.TaskName(pl.uid, pl.rangeIndex*j.record.RangeSize+pl.index)
}

// resourcesOf is the room that a task of the job takes.
func resourcesOf(r *api.Job) sched.Resources {
	return sched.Resources{CPUs: r.CPUs, GPUs: r.GPUs, MemGB: r.MemGB}
}
