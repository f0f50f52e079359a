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
	"violetturn/internal/part"
	"violetturn/internal/sched"
	"violetturn/internal/store"
)

// Keys of the state service. All that lives is below live/, which every
// controller mirrors; a job that is over leaves one record below past/, which
// is read when it is asked for.
const (
	live    = "live/"
	jobKey  = live + "j/" // + uid: main record
	taskKey = live + "t/" // + uid/chunk, of jobs whose tasks don't fit the main record
	partKey = live + "p/" // + part: free-room record
	ownKey  = live + "o/" // + part: owner, under its hold
	nodeKey = live + "n/" // + node: alive, under its hold
	pageKey = live + "m/" // + what names of machines have in common: those machines
	teamKey = live + "q/" // + team: shares of its limit
	termKey = live + "term"
	pastKey = "past/" // + uid
)

// value is a record as mirrored, with its version.
type value[T any] struct {
	v     *T
	stamp uint64
}

// liveJob is a job with its chunks.
type liveJob struct {
	main   *job.Main
	stamp  uint64
	chunks map[int]value[job.Chunk]
	open   []task // what is neither done nor placed; nil: to be worked out
}

// mirror is this controller's copy of what lives in the state service. It is a
// cache: every decision that rests on it is committed under guards on the
// versions it rests on.
type mirror struct {
	log     *slog.Logger
	loading bool              // a full list is being taken in
	epoch   uint64            // all changes up to here are in
	stamps  map[string]uint64 // of present keys
	tombs   map[string]uint64 // of keys dropped at revisions that the watch has yet to reach
	jobs    map[string]*liveJob
	orphan  map[string]map[int]value[job.Chunk] // chunks whose main record is not here
	parts   map[string]value[part.Record]
	owns    map[string]value[part.Own]
	nodes   map[string]value[part.Own]
	pages   map[string]value[part.Page]
	hosts   map[string]*part.Machine // of all pages
	teams   map[string]value[part.Usage]
	term    uint64
	onHost  map[string]map[string]*placed // host -> task -> place
	names   []string                      // of hosts, sorted; nil: to be sorted anew
	loads   map[string]*load              // host -> what is placed there, while nothing changes there
	images  map[string]map[string]bool    // host -> images that tasks were put there with
	gone    map[string]bool               // machines that were forgotten: they are gone for good
	onJob   func(*job.Main)               // hears of each job that appears
	onEnd   func(string, job.Past)        // hears of each job that is over
	onTask  func(host string)             // hears of machines where tasks were placed, or are to leave
}

// placed is one placement, found by its machine.
type placed struct {
	uid   string
	chunk int
	index int // within the chunk
	p     *job.Place
}

func newMirror(log *slog.Logger, onJob func(*job.Main), onTask func(string)) *mirror {
	return &mirror{log: log, onJob: onJob, onTask: onTask, stamps: map[string]uint64{}, tombs: map[string]uint64{}, jobs: map[string]*liveJob{},
		orphan: map[string]map[int]value[job.Chunk]{}, parts: map[string]value[part.Record]{}, owns: map[string]value[part.Own]{},
		nodes: map[string]value[part.Own]{}, pages: map[string]value[part.Page]{}, hosts: map[string]*part.Machine{}, teams: map[string]value[part.Usage]{},
		onHost: map[string]map[string]*placed{}, loads: map[string]*load{}, images: map[string]map[string]bool{}, gone: map[string]bool{}}
}

// apply takes in one change; raw is nil for a drop. Changes reach the mirror
// from own commits, from the watch and from barriers, in no common order, so
// each key moves only forward. What is not newer than the revision up to which all
// is in comes from an answer that was overtaken on its way: a key that it writes may
// have been dropped since, and would come back as a ghost that no later change ever
// removes, failing every transaction that rests on it.
func (m *mirror) apply(key string, raw json.RawMessage, stamp uint64) {
	if stamp <= m.epoch && !m.loading {
		return
	}
	if stamp <= m.stamps[key] || stamp <= m.tombs[key] || !strings.HasPrefix(key, live) {
		return
	}
	if raw == nil {
		delete(m.stamps, key)
		if stamp > m.epoch {
			m.tombs[key] = stamp
		}
	} else {
		m.stamps[key] = stamp
		delete(m.tombs, key)
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
		err = set(m.parts, id, raw, stamp)
	case ownKey:
		err = set(m.owns, id, raw, stamp)
	case nodeKey:
		err = set(m.nodes, id, raw, stamp)
	case pageKey:
		err = m.applyPage(id, raw, stamp)
	case teamKey:
		err = set(m.teams, id, raw, stamp)
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
	to[id] = value[T]{v, stamp}
	return nil
}

// applyPage takes in a group of machines.
func (m *mirror) applyPage(id string, raw json.RawMessage, stamp uint64) error {
	old := m.pages[id]
	if err := set(m.pages, id, raw, stamp); err != nil {
		return err
	}
	m.names = nil
	page := m.pages[id].v
	if old.v != nil {
		for host := range *old.v {
			if page != nil && (*page)[host] != nil {
				continue
			}
			delete(m.hosts, host)
			delete(m.images, host)
			const most = 8192 // names of some ten bytes
			if len(m.gone) >= most {
				clear(m.gone)
			}
			m.gone[host] = true
		}
	}
	if page == nil {
		return nil
	}
	for host, x := range *page {
		if was := m.hosts[host]; was != nil && x.Addr == "" {
			x.Addr = was.Addr // learned from a report or a list
		}
		m.hosts[host] = x
	}
	return nil
}

// pageOf names the page of a machine: names that differ only in their last
// characters share one, as many as surely fit a value.
func (c *Controller) pageOf(host string) string {
	const bytes = 160 // of one machine at most
	cut := 1
	if c.cfg.Facts.State.ValueKB*1024 >= 100*bytes {
		cut = 2
	}
	return host[:max(len(host)-cut, 0)] + "-"
}

func (m *mirror) applyJob(uid string, raw json.RawMessage, stamp uint64) error {
	if raw == nil {
		if j := m.jobs[uid]; j != nil {
			if !m.loading && m.onEnd != nil {
				m.onEnd(uid, j.pastOf())
			}
			if j.main.Inner {
				m.setChunk(uid, j.chunks, 0, nil, stamp)
			}
			if len(j.chunks) > 0 {
				m.orphan[uid] = j.chunks // their drops follow
			}
			m.unload(j.chunks)
			delete(m.jobs, uid)
		}
		return nil
	}
	v, err := job.ParseMain(raw)
	if err != nil {
		return err
	}
	j := m.jobs[uid]
	if j == nil {
		j = &liveJob{chunks: map[int]value[job.Chunk]{}}
		if o := m.orphan[uid]; o != nil {
			j.chunks = o
			m.unload(o)
			delete(m.orphan, uid)
		}
		m.jobs[uid] = j
		m.onJob(v)
	}
	if v.Gone && j.main != nil && !j.main.Gone { // its tasks are useless from now on
		m.unload(j.chunks)
		for _, ch := range j.chunks {
			for _, p := range ch.v.Places {
				m.onTask(p.Host)
			}
		}
	}
	j.main, j.stamp, j.open = v, stamp, nil
	if v.Inner {
		m.setChunk(uid, j.chunks, 0, v.Only, stamp)
	}
	return nil
}

func (m *mirror) applyChunk(id string, raw json.RawMessage, stamp uint64) error {
	uid, ns, _ := strings.Cut(id, "/")
	n, err := strconv.Atoi(ns)
	if err != nil {
		return err
	}
	var c *job.Chunk
	if raw != nil {
		if c, err = job.ParseChunk(raw); err != nil {
			return err
		}
	}
	var chunks map[int]value[job.Chunk]
	if j := m.jobs[uid]; j != nil {
		chunks = j.chunks
	} else if chunks = m.orphan[uid]; chunks == nil {
		chunks = map[int]value[job.Chunk]{}
		m.orphan[uid] = chunks
	}
	m.setChunk(uid, chunks, n, c, stamp)
	if len(m.orphan[uid]) == 0 {
		delete(m.orphan, uid)
	}
	return nil
}

// setChunk replaces a chunk and with it what is placed on machines.
func (m *mirror) setChunk(uid string, chunks map[int]value[job.Chunk], n int, c *job.Chunk, stamp uint64) {
	if j := m.jobs[uid]; j != nil {
		j.open = nil
	}
	old := chunks[n].v
	if old != nil {
		for i, p := range old.Places {
			m.unplace(uid, n, i, p)
		}
	}
	if c == nil {
		delete(chunks, n)
		return
	}
	chunks[n] = value[job.Chunk]{c, stamp}
	for i, p := range c.Places {
		on := m.onHost[p.Host]
		if on == nil {
			on = map[string]*placed{}
			m.onHost[p.Host] = on
		}
		delete(m.loads, p.Host)
		on[taskID(uid, n, i)] = &placed{uid, n, i, p}
		if j := m.jobs[uid]; j != nil {
			if m.images[p.Host] == nil {
				m.images[p.Host] = map[string]bool{}
			}
			m.images[p.Host][j.main.Run.Bundle] = true
		}
		if was := old.PlaceOf(i); was == nil || *was != *p {
			m.onTask(p.Host)
		}
	}
}

// taskID names a placement within this process; the task's own name needs the
// chunk size, which an orphan chunk does not know.
func taskID(uid string, chunk, i int) string {
	return uid + "/" + strconv.Itoa(chunk) + "/" + strconv.Itoa(i)
}

func (m *mirror) unplace(uid string, n, i int, p *job.Place) {
	delete(m.loads, p.Host)
	on := m.onHost[p.Host]
	delete(on, taskID(uid, n, i))
	if len(on) == 0 {
		delete(m.onHost, p.Host)
	}
}

// load is what is placed on a machine.
type load struct {
	used            sched.Room    // of the tasks that are not over
	leaving         sched.Room    // of those of them that are on their way out
	staying         [4]sched.Room // of the others, by rank
	daemons, sweeps int           // tasks that are not over, by their jobs' shape
}

// unload has the loads of machines with tasks of a job worked out anew.
func (m *mirror) unload(chunks map[int]value[job.Chunk]) {
	for _, ch := range chunks {
		for _, p := range ch.v.Places {
			delete(m.loads, p.Host)
		}
	}
}

// hostNames gives the names of all machines in order.
func (m *mirror) hostNames() []string {
	if m.names == nil {
		m.names = slices.Sorted(maps.Keys(m.hosts))
	}
	return m.names
}

// advance notes that all changes up to epoch have been applied.
func (m *mirror) advance(epoch uint64) {
	if epoch <= m.epoch {
		return
	}
	m.epoch = epoch
	for k, s := range m.tombs {
		if s <= epoch {
			delete(m.tombs, k)
		}
	}
}

// reload takes in a full list whose first page was of revision epoch.
func (m *mirror) reload(items []store.Item, epoch uint64) {
	m.loading = true // changes in between were missed: how a job ended is not known
	defer func() { m.loading = false }()
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		m.apply(it.Key, it.Value, it.Stamp)
	}
	for k, s := range m.stamps {
		if !present[k] && s <= epoch {
			m.apply(k, nil, max(epoch, s+1))
		}
	}
	m.advance(epoch)
}

// name is the task's name on the wire.
func (pl *placed) name(j *liveJob) string {
	return api.PieceName(pl.uid, pl.chunk*j.main.Chunk+pl.index)
}

// need is the room that a task of the job takes.
func need(r *api.Run) sched.Room { return sched.Room{CPUs: r.CPUs, GPUs: r.GPUs, MemGB: r.MemGB} }

// pastOf tells how a job ended whose record was just dropped, from the version
// before, which is the last there was: each change of a record was seen, in
// order. A job is dropped when it is withdrawn and empty, or else done. So users
// who ask how it ended need no further read.
func (j *liveJob) pastOf() job.Past {
	if !j.main.Gone {
		return job.Past{Phase: api.Done, Done: j.main.Run.Pieces}
	}
	return job.Past{Phase: api.Withdrawn, Done: j.stateOf().Done}
}

// chunkAt gives the key and version of the record that holds chunk n.
func (j *liveJob) chunkAt(n int) (string, uint64) {
	if j.main.Inner {
		return jobKey + j.main.Run.UID, j.stamp
	}
	return taskKey + j.main.Run.UID + "/" + strconv.Itoa(n), j.chunks[n].stamp
}

// stateOf tells users of a living job.
func (j *liveJob) stateOf() api.State {
	s := api.State{UID: j.main.Run.UID, Phase: api.Pending, Done: j.main.FinishedTasks()}
	for n, c := range j.chunks {
		if !j.main.Finished(n) {
			s.Done += c.v.DoneCount()
		}
		s.Running += len(c.v.Places)
	}
	switch {
	case j.main.Gone:
		s.Phase = api.Withdrawn
	case s.Running > 0:
		s.Phase = api.Running
	}
	return s
}

// txn collects a transaction with what to tell the mirror when it commits.
type txn struct {
	guards map[string]uint64
	writes map[string]json.RawMessage
	permit map[string]uint64
	drops  map[string]bool
	order  []string
}

func newTxn() *txn {
	return &txn{guards: map[string]uint64{}, writes: map[string]json.RawMessage{}, permit: map[string]uint64{}, drops: map[string]bool{}}
}

func (t *txn) guard(key string, stamp uint64) { t.guards[key] = stamp }

func (t *txn) write(key string, v any) {
	if _, ok := t.writes[key]; !ok {
		t.order = append(t.order, key)
	}
	t.writes[key] = api.JSON(v)
}

func (t *txn) drop(key string) {
	if !t.drops[key] {
		t.order = append(t.order, key)
	}
	t.drops[key] = true
	delete(t.writes, key)
}

// ops is the number of changes so far.
func (t *txn) ops() int {
	n := 0
	for _, k := range t.order {
		if t.drops[k] || t.writes[k] != nil {
			n++
		}
	}
	return n
}

func (t *txn) wire() *store.Txn {
	w := &store.Txn{Guards: []store.Guard{}, Then: []store.Op{}}
	for k, s := range t.guards {
		w.Guards = append(w.Guards, store.Guard{Key: k, Stamp: s})
	}
	seen := map[string]bool{}
	for _, k := range t.order {
		if seen[k] {
			continue
		}
		seen[k] = true
		if t.drops[k] {
			w.Then = append(w.Then, store.Op{Drop: k})
		} else if v := t.writes[k]; v != nil {
			op := store.Op{Write: k, Value: v}
			if p, ok := t.permit[k]; ok {
				op.Permit = &p
			}
			w.Then = append(w.Then, op)
		}
	}
	return w
}

// applied takes a committed transaction into the mirror.
func (m *mirror) applied(t *txn, epoch uint64) {
	for k, v := range t.writes {
		m.apply(k, v, epoch)
	}
	for k := range t.drops {
		m.apply(k, nil, epoch)
	}
}
