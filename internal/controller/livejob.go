package controller

import (
	"encoding/json"
	"strconv"
	"strings"

	"violetturn/internal/api"
	"violetturn/internal/job"
)

// liveJob is a job with its task ranges.
type liveJob struct {
	record          *job.Record
	version         uint64
	size            int                           // bytes of its main record
	ranges          map[int]cached[job.TaskRange] // those of its present division
	pending         []taskIndex                   // what is neither done nor placed; nil: to be worked out
	cancelledByPeer bool                          // a peer says that it was cancelled, though its record doesn't show it yet
}

func (m *replica) applyJob(uid string, raw json.RawMessage, version uint64) error {
	j := m.jobs[uid]
	if raw == nil {
		if j != nil {
			if !m.loading {
				m.observer.JobEnded(uid, j.finalState())
			}
			for n := range j.ranges {
				m.setTaskRange(uid, j.ranges, n, cached[job.TaskRange]{version: version})
			}
			delete(m.jobs, uid)
			delete(m.gangs, uid)
		}
		return nil
	}
	v, err := job.ParseRecord(raw)
	if err != nil {
		return err
	}
	var was *job.Record
	if j == nil {
		j = &liveJob{ranges: map[int]cached[job.TaskRange]{}}
		m.jobs[uid] = j
		if v.Spec.Kind == api.Gang {
			m.gangs[uid] = true
		}
		m.observer.JobAdded(v)
	} else {
		was = j.record
	}
	if was != nil &&
		(v.Cancelled && !was.Cancelled || gangStateChanged(was.Gang, v.Gang)) { // its tasks are useless from now on, or may start
		m.invalidateLoads(j.ranges)
		for _, ch := range j.ranges {
			for _, p := range ch.record.Placements {
				m.observer.TasksChanged(p.Host)
			}
		}
	}
	if v.Cancelled && (was == nil || !was.Cancelled) {
		m.noteCancellation(uid, version)
	}
	j.record, j.version, j.size, j.pending = v, version, len(raw), nil
	if v.Inline {
		m.setTaskRange(uid, j.ranges, 0, cached[job.TaskRange]{v.InlineRange, version, len(raw)})
	}
	if !v.Inline && (was == nil || was.Inline || was.Generation != v.Generation) {
		for n := range j.ranges {
			m.setTaskRange(uid, j.ranges, n, cached[job.TaskRange]{version: version})
		}
		for k, c := range m.taskRanges[uid] {
			if k.generation == v.Generation {
				m.setTaskRange(uid, j.ranges, k.index, c)
			}
		}
	}
	return nil
}

// gangStateChanged reports whether what a gang's tasks are to do has changed.
func gangStateChanged(a, b *job.Gang) bool {
	if a == nil || b == nil {
		return a != b
	}
	return a.Attempt != b.Attempt || a.Launched != b.Launched || a.Stopping != b.Stopping || a.Ended != b.Ended || a.Done != b.Done
}

// taskRangeKey names the record of task range n of a job that was divided gen times.
func taskRangeKey(uid string, gen, n int) string {
	if gen == 0 {
		return taskRangePrefix + uid + "/" + strconv.Itoa(n)
	}
	return taskRangePrefix + uid + "/g" + strconv.Itoa(gen) + "." + strconv.Itoa(n)
}

func parseTaskRangeKey(id string) (uid string, rec rangeGeneration, err error) {
	uid, ns, _ := strings.Cut(id, "/")
	if g, n, ok := strings.Cut(ns, "."); ok {
		if rec.generation, err = strconv.Atoi(strings.TrimPrefix(g, "g")); err != nil {
			return uid, rec, err
		}
		ns = n
	}
	rec.index, err = strconv.Atoi(ns)
	return uid, rec, err
}

func (m *replica) applyTaskRange(id string, raw json.RawMessage, version uint64) error {
	uid, rec, err := parseTaskRangeKey(id)
	if err != nil {
		return err
	}
	c := cached[job.TaskRange]{version: version, size: len(raw)}
	if raw != nil {
		if c.record, err = job.ParseTaskRange(raw); err != nil {
			return err
		}
	}
	recs := m.taskRanges[uid]
	if recs == nil {
		recs = map[rangeGeneration]cached[job.TaskRange]{}
		m.taskRanges[uid] = recs
	}
	if recs[rec] = c; c.record == nil {
		if delete(recs, rec); len(recs) == 0 {
			delete(m.taskRanges, uid)
		}
	}
	if j := m.jobs[uid]; j != nil && !j.record.Inline && j.record.Generation == rec.generation {
		m.setTaskRange(uid, j.ranges, rec.index, c)
	}
	return nil
}

// setTaskRange replaces a task range and with it what is placed on machines.
func (m *replica) setTaskRange(uid string, chunks map[int]cached[job.TaskRange], n int, to cached[job.TaskRange]) {
	c := to.record
	if j := m.jobs[uid]; j != nil {
		j.pending = nil
	}
	old := chunks[n].record
	if old != nil {
		for i, p := range old.Placements {
			m.removePlacement(uid, n, i, p)
		}
	}
	if c == nil {
		delete(chunks, n)
		return
	}
	chunks[n] = to
	for i, p := range c.Placements {
		on := m.placements[p.Host]
		if on == nil {
			on = map[string]*placedTask{}
			m.placements[p.Host] = on
		}
		delete(m.loads, p.Host)
		on[placementKey(uid, n, i)] = &placedTask{uid, n, i, p}
		if j := m.jobs[uid]; j != nil {
			if m.images[p.Host] == nil {
				m.images[p.Host] = map[string]bool{}
			}
			m.images[p.Host][j.record.Spec.Image] = true
		}
		if was := old.PlacementOf(i); was == nil || *was != *p {
			m.observer.TasksChanged(p.Host)
		}
	}
}

// finalState returns how a job ended whose record was just dropped, from the version
// before, which is the last there was: each change of a record was seen, in
// order. A job is dropped when it is cancelled and empty, or else done. So users
// who ask how it ended need no further read.
func (j *liveJob) finalState() job.FinalState {
	if !j.record.Cancelled || j.record.Gang != nil && j.record.Gang.Done {
		return job.FinalState{Phase: api.Done, Done: j.record.Spec.Tasks}
	}
	return job.FinalState{Phase: api.Cancelled, Done: j.userState(false).Done}
}

// rangeRecord returns the key and version of the record that holds task range n.
func (j *liveJob) rangeRecord(n int) (string, uint64) {
	if j.record.Inline {
		return jobPrefix + j.record.Spec.UID, j.version
	}
	return taskRangeKey(j.record.Spec.UID, j.record.Generation, n), j.ranges[n].version
}

// userState tells users of a living job. One that was cancelled is told so at once, or
// else (config.ConfirmsEmpty) when it has no task left.
func (j *liveJob) userState(confirmsEmpty bool) api.State {
	s := api.State{UID: j.record.Spec.UID, Phase: api.Pending, Done: j.record.FinishedTasks()}
	g := j.record.Gang
	if g != nil && g.Done { // committed, though not all of its records are gone yet
		return api.State{UID: s.UID, Phase: api.Done, Done: j.record.Spec.Tasks}
	}
	for n, c := range j.ranges {
		if !j.record.RangeFinished(n) {
			s.Done += c.record.DoneCount()
		}
		s.Running += len(c.record.Placements)
	}
	switch {
	case j.record.Cancelled && (s.Running == 0 || !confirmsEmpty):
		s.Phase = api.Cancelled
	case j.record.Spec.Kind == api.Gang && (g == nil || !g.Launched):
		s.Running = 0 // places that are held run nothing yet
	case s.Running > 0:
		s.Phase = api.Running
	}
	return s
}
