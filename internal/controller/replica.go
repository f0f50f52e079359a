package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"

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
	live    = "live/"
	jobKey  = live + "j/" // + uid: main record
	taskKey = live + "t/" // + uid/chunk, of jobs whose tasks don't fit the main record; uid/gN.chunk once they were divided N times
	partKey = live + "p/" // + part: free-room record
	ownKey  = live + "o/" // + part: owner, under its hold
	nodeKey = live + "n/" // + node: alive, under its hold
	pageKey = live + "m/" // + what names of machines have in common: those machines
	teamKey = live + "q/" // + team: shares of its limit
	markKey = live + "v/" // + node: the forms of records that it reads; stays when the node ends
	zoneKey = live + "z/" // + zone: its health, while features.ZoneRecovery is on
	termKey = live + "term"
	pastKey = "past/" // + uid
)

// value is a record as replicated, with its version.
type value[T any] struct {
	v     *T
	stamp uint64
	size  int // bytes of its record
}

// chunkRec names a chunk's record among those of its job.
type chunkRec struct{ gen, n int }

// replica is this controller's copy of what lives in the state service. It is a
// cache: every decision that rests on it is committed under guards on the
// versions it rests on.
type replica struct {
	log     *slog.Logger
	loading bool              // a full list is being taken in
	epoch   uint64            // all changes up to here are in
	stamps  map[string]uint64 // of present keys
	dropped map[string]uint64 // of keys dropped at revisions that the watch has yet to reach
	jobs    map[string]*liveJob
	gangs   map[string]bool // those of them whose tasks start together
	// chunks' records as they are, those of other divisions and of no job included
	recs              map[string]map[chunkRec]value[job.Chunk]
	parts             map[string]value[shard.Record]
	owns              map[string]value[shard.Ownership]
	nodes             map[string]value[shard.Ownership]
	marks             map[string]value[shard.Mark]
	zones             map[string]value[zonehealth.Record]
	pages             map[string]value[shard.Page]
	hosts             map[string]*shard.Machine // of all pages
	teams             map[string]value[shard.Usage]
	term              uint64
	cancellations     []cancellation                    // the last ones
	cancellationsFrom uint64                            // all after that revision are among them
	onHost            map[string]map[string]*placedTask // host -> task -> place
	names             []string                          // of hosts, sorted; nil: to be sorted anew
	loads             map[string]*load                  // host -> what is placed there, while nothing changes there
	images            map[string]map[string]bool        // host -> images that tasks were put there with
	gone              map[string]bool                   // machines that were forgotten: they are gone for good
	onJob             func(*job.Main)                   // hears of each job that appears
	onEnd             func(string, job.Past)            // hears of each job that is over
	onTask            func(host string)                 // hears of machines where tasks were placed, or are to leave
}

// placedTask is one placement, found by its machine.
type placedTask struct {
	uid   string
	chunk int
	index int // within the chunk
	p     *job.Placement
}

func newReplica(log *slog.Logger, onJob func(*job.Main), onTask func(string)) *replica {
	return &replica{
		log:     log,
		onJob:   onJob,
		onTask:  onTask,
		stamps:  map[string]uint64{},
		dropped: map[string]uint64{},
		jobs:    map[string]*liveJob{},
		gangs:   map[string]bool{},
		recs:    map[string]map[chunkRec]value[job.Chunk]{},
		marks:   map[string]value[shard.Mark]{},
		zones:   map[string]value[zonehealth.Record]{},
		parts:   map[string]value[shard.Record]{},
		owns:    map[string]value[shard.Ownership]{},
		nodes:   map[string]value[shard.Ownership]{},
		pages:   map[string]value[shard.Page]{},
		hosts:   map[string]*shard.Machine{},
		teams:   map[string]value[shard.Usage]{},
		onHost:  map[string]map[string]*placedTask{},
		loads:   map[string]*load{},
		images:  map[string]map[string]bool{},
		gone:    map[string]bool{},
	}
}

// apply takes in one change; raw is nil for a drop. Changes reach the replica
// from own commits, from the watch and from barriers, in no common order, so
// each key moves only forward. What is not newer than the revision up to which all
// is in comes from an answer that was overtaken on its way: a key that it writes may
// have been dropped since, and would come back as a ghost that no later change ever
// removes, failing every transaction that rests on it.
func (m *replica) apply(key string, raw json.RawMessage, stamp uint64) {
	m.applyRecord(key, raw, stamp, nil)
}

// applyRecord is the same for a change of this node's own, of which a part's record, the
// largest there is, need not be read again.
func (m *replica) applyRecord(key string, raw json.RawMessage, stamp uint64, own *shard.Record) {
	if stamp <= m.epoch && !m.loading {
		return
	}
	if stamp <= m.stamps[key] || stamp <= m.dropped[key] || !strings.HasPrefix(key, live) {
		return
	}
	if raw == nil {
		delete(m.stamps, key)
		if stamp > m.epoch {
			m.dropped[key] = stamp
		}
	} else {
		m.stamps[key] = stamp
		delete(m.dropped, key)
	}
	if key == termKey {
		m.term = 0
		_ = json.Unmarshal(raw, &m.term) // a term that can't be read fails the guard of its next use
		return
	}
	if len(key) < len(jobKey) {
		return
	}
	kind, id := key[:len(jobKey)], key[len(jobKey):]
	var err error
	switch kind {
	case jobKey:
		err = m.applyJob(id, raw, stamp)
	case taskKey:
		err = m.applyChunk(id, raw, stamp)
	case partKey:
		if own != nil {
			m.parts[id] = value[shard.Record]{own, stamp, len(raw)}
		} else {
			err = set(m.parts, id, raw, stamp)
		}
	case ownKey:
		err = set(m.owns, id, raw, stamp)
	case nodeKey:
		err = set(m.nodes, id, raw, stamp)
	case pageKey:
		err = m.applyPage(id, raw, stamp)
	case teamKey:
		err = set(m.teams, id, raw, stamp)
	case markKey:
		err = set(m.marks, id, raw, stamp)
	case zoneKey:
		err = set(m.zones, id, raw, stamp)
	}
	if err != nil {
		m.log.Error("record can't be read", "key", key, "err", err)
	}
}

func set[T any](to map[string]value[T], id string, raw json.RawMessage, stamp uint64) error {
	if raw == nil {
		delete(to, id)
		return nil
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return err
	}
	to[id] = value[T]{v, stamp, len(raw)}
	return nil
}

// applyPage takes in a group of machines. A finer page stands for its machines
// before a coarser one that still names them.
func (m *replica) applyPage(id string, raw json.RawMessage, stamp uint64) error {
	old := m.pages[id]
	if err := set(m.pages, id, raw, stamp); err != nil {
		return err
	}
	m.names = nil
	touched := map[string]bool{}
	note := func(p *shard.Page) {
		if p != nil {
			for host := range *p {
				touched[host] = true
			}
		}
	}
	note(old.v)
	note(m.pages[id].v)
	if len(id) > 2 { // what it shadows of a coarser one, or does no more
		note(m.pages[id[:len(id)-2]+"-"].v)
	}
	for host := range touched {
		x, was := m.record(host), m.hosts[host]
		if x == nil {
			if was == nil {
				continue
			}
			delete(m.hosts, host)
			delete(m.images, host)
			m.noteGone(host)
			continue
		}
		if was != nil && x.Addr == "" {
			x.Addr = was.Addr // learned from a report or a list
		}
		m.hosts[host] = x
	}
	return nil
}

// leastGone is how many machines that are gone are remembered at the least: names of some
// ten bytes.
const leastGone = 8192

// noteGone remembers that a machine is gone for good. Of more than several times the fleet
// the older half is forgotten: a late copy of a report is of one that went not long ago.
func (m *replica) noteGone(host string) {
	if most := max(leastGone, 4*len(m.hosts)); len(m.gone) >= most {
		names := slices.Sorted(maps.Keys(m.gone)) // in the order of their creation
		for _, name := range names[:len(names)/2] {
			delete(m.gone, name)
		}
	}
	m.gone[host] = true
}

// pageID names the page of a machine that leaves out so many characters of its name.
func pageID(host string, cut int) string { return host[:max(len(host)-cut, 0)] + "-" }

// coarse is how many characters of a machine's name the coarsest pages leave out.
const coarse = 2

// record gives a machine's record: of the finest page that there is for it, be the
// machine in it or not.
func (m *replica) record(host string) *shard.Machine {
	for cut := 1; cut <= coarse; cut++ {
		if p := m.pages[pageID(host, cut)].v; p != nil {
			return (*p)[host]
		}
	}
	return nil
}

// taskID names a placement within this process; the task's own name needs the
// chunk size, which an orphan chunk does not know.
func taskID(uid string, chunk, i int) string {
	return uid + "/" + strconv.Itoa(chunk) + "/" + strconv.Itoa(i)
}

func (m *replica) unplace(uid string, n, i int, p *job.Placement) {
	delete(m.loads, p.Host)
	on := m.onHost[p.Host]
	delete(on, taskID(uid, n, i))
	if len(on) == 0 {
		delete(m.onHost, p.Host)
	}
}

// load is what is placed on a machine.
type load struct {
	used            sched.Resources    // of the tasks that are not over
	leaving         sched.Resources    // of those of them that are on their way out
	staying         [4]sched.Resources // of the others, by rank
	daemons, sweeps int                // tasks that are not over, by their jobs' shape
	newest          int64              // when the last of the tasks was placed, in milliseconds of the time of day
}

// unload has the loads of machines with tasks of a job worked out anew.
func (m *replica) unload(chunks map[int]value[job.Chunk]) {
	for _, ch := range chunks {
		for _, p := range ch.v.Places {
			delete(m.loads, p.Host)
		}
	}
}

// hostNames gives the names of all machines in order.
func (m *replica) hostNames() []string {
	if m.names == nil {
		m.names = slices.Sorted(maps.Keys(m.hosts))
	}
	return m.names
}

// advance notes that all changes up to epoch have been applied.
func (m *replica) advance(epoch uint64) {
	if epoch <= m.epoch {
		return
	}
	m.epoch = epoch
	for k, s := range m.dropped {
		if s <= epoch {
			delete(m.dropped, k)
		}
	}
}

// reload takes in a full list whose first page was of revision epoch.
func (m *replica) reload(items []store.Item, epoch uint64) {
	m.loading = true // changes in between were missed: how a job ended is not known
	defer func() { m.loading = false }()
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		m.apply(it.Key, it.Value, it.Version)
	}
	for k, s := range m.stamps {
		if !present[k] && s <= epoch {
			m.apply(k, nil, max(epoch, s+1))
		}
	}
	m.cancellations, m.cancellationsFrom = nil, epoch // others were called off and are over already
	m.advance(epoch)
}

// name is the task's name on the wire.
func (pl *placedTask) name(j *liveJob) string {
	return api.TaskName(pl.uid, pl.chunk*j.main.Chunk+pl.index)
}

// need is the room that a task of the job takes.
func need(r *api.Job) sched.Resources {
	return sched.Resources{CPUs: r.CPUs, GPUs: r.GPUs, MemGB: r.MemGB}
}
