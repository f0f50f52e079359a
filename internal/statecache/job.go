package statecache

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
)

// RecordCoversTasks reports whether the main record is written with every change of the job's
// tasks, so that its version is that of all of them: of a gang, and of a spread job
// that was divided, whose zones are counted over several task ranges. A transaction that is
// carried out late would otherwise place a task by an old count.
func RecordCoversTasks(j *Job) bool {
	return IsGang(j) || j.Record.SpreadRangeSize > 0
}

// CountPlaced counts the tasks that have a place.
func (j *Job) CountPlaced() int {
	n := 0
	for _, ch := range j.Ranges {
		n += len(ch.Record.Placements)
	}
	return n
}

// GangPhase returns how a gang's attempt stands.
func (j *Job) GangPhase() job.GangPhase { return j.Record.Gang.Phase(j.CountPlaced()) }

// IsCancelled reports whether the job was cancelled, as its record shows or a peer says.
func (j *Job) IsCancelled() bool { return j.Record.Cancelled || j.cancelledByPeer }

// MustStop reports whether a placed task is to leave its machine.
func (j *Job) MustStop(p *job.Placement) bool {
	return p.Stopping || j.IsCancelled() || IsGang(j) && j.Record.Gang.MustStop(p.Attempt)
}

// MayLaunch reports whether a placed task may be launched: of a gang only once all its
// room is held.
func (j *Job) MayLaunch(p *job.Placement) bool {
	return !j.MustStop(p) && (!IsGang(j) || j.Record.Gang.MayLaunch(p.Attempt))
}

// Job is a job with its task ranges.
type Job struct {
	Record          *job.Record
	Version         uint64
	Size            int                              // bytes of its main record
	Ranges          map[int]Versioned[job.TaskRange] // those of its present division
	Pending         []TaskIndex                      // what is neither done nor placed; nil: to be worked out
	cancelledByPeer bool                             // a peer says that it was cancelled, though its record doesn't show it yet
}

func (m *Cache) applyJob(uid string, raw json.RawMessage, version uint64) error {
	j := m.Jobs[uid]
	if raw == nil {
		if j != nil {
			if !m.loading {
				m.observer.JobEnded(uid, j.finalState())
			}
			for n := range j.Ranges {
				m.setTaskRange(uid, j.Ranges, n, Versioned[job.TaskRange]{Version: version})
			}
			delete(m.Jobs, uid)
			delete(m.Gangs, uid)
		}
		return nil
	}
	v, err := job.ParseRecord(raw)
	if err != nil {
		return err
	}
	var was *job.Record
	if j == nil {
		j = &Job{Ranges: map[int]Versioned[job.TaskRange]{}}
		m.Jobs[uid] = j
		if v.Spec.Kind == api.Gang {
			m.Gangs[uid] = true
		}
		m.observer.JobAdded(v)
	} else {
		was = j.Record
	}
	if was != nil &&
		(v.Cancelled && !was.Cancelled || gangStateChanged(was.Gang, v.Gang)) { // its tasks are useless from now on, or may start
		m.invalidateLoads(j.Ranges)
		for _, ch := range j.Ranges {
			for _, p := range ch.Record.Placements {
				m.observer.TasksChanged(p.Host)
			}
		}
	}
	if v.Cancelled && (was == nil || !was.Cancelled) {
		m.NoteCancellation(uid, version)
	}
	j.Record, j.Version, j.Size, j.Pending = v, version, len(raw), nil
	if v.Inline {
		m.setTaskRange(uid, j.Ranges, 0, Versioned[job.TaskRange]{v.InlineRange, version, len(raw)})
	}
	if !v.Inline && (was == nil || was.Inline || was.Generation != v.Generation) {
		for n := range j.Ranges {
			m.setTaskRange(uid, j.Ranges, n, Versioned[job.TaskRange]{Version: version})
		}
		for k, c := range m.TaskRanges[uid] {
			if k.Generation == v.Generation {
				m.setTaskRange(uid, j.Ranges, k.Index, c)
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

// TaskRangeKey names the record of task range n of a job that was divided gen times.
func TaskRangeKey(uid string, gen, n int) string {
	if gen == 0 {
		return TaskRangePrefix + uid + "/" + strconv.Itoa(n)
	}
	return TaskRangePrefix + uid + "/g" + strconv.Itoa(gen) + "." + strconv.Itoa(n)
}

func parseTaskRangeKey(id string) (uid string, rec RangeKey, err error) {
	uid, ns, _ := strings.Cut(id, "/")
	if g, n, ok := strings.Cut(ns, "."); ok {
		if rec.Generation, err = strconv.Atoi(strings.TrimPrefix(g, "g")); err != nil {
			return uid, rec, err
		}
		ns = n
	}
	rec.Index, err = strconv.Atoi(ns)
	return uid, rec, err
}

func (m *Cache) applyTaskRange(id string, raw json.RawMessage, version uint64) error {
	uid, rec, err := parseTaskRangeKey(id)
	if err != nil {
		return err
	}
	c := Versioned[job.TaskRange]{Version: version, Size: len(raw)}
	if raw != nil {
		if c.Record, err = job.ParseTaskRange(raw); err != nil {
			return err
		}
	}
	recs := m.TaskRanges[uid]
	if recs == nil {
		recs = map[RangeKey]Versioned[job.TaskRange]{}
		m.TaskRanges[uid] = recs
	}
	if recs[rec] = c; c.Record == nil {
		if delete(recs, rec); len(recs) == 0 {
			delete(m.TaskRanges, uid)
		}
	}
	if j := m.Jobs[uid]; j != nil && !j.Record.Inline && j.Record.Generation == rec.Generation {
		m.setTaskRange(uid, j.Ranges, rec.Index, c)
	}
	return nil
}

// setTaskRange replaces a task range and with it what is placed on machines.
func (m *Cache) setTaskRange(uid string, chunks map[int]Versioned[job.TaskRange], n int, to Versioned[job.TaskRange]) {
	c := to.Record
	if j := m.Jobs[uid]; j != nil {
		j.Pending = nil
	}
	old := chunks[n].Record
	if old != nil {
		for i, p := range old.Placements {
			m.RemovePlacement(uid, n, i, p)
		}
	}
	if c == nil {
		delete(chunks, n)
		return
	}
	chunks[n] = to
	for i, p := range c.Placements {
		on := m.Placements[p.Host]
		if on == nil {
			on = map[string]*PlacedTask{}
			m.Placements[p.Host] = on
		}
		delete(m.Loads, p.Host)
		on[PlacementKey(uid, n, i)] = &PlacedTask{uid, n, i, p}
		if j := m.Jobs[uid]; j != nil {
			if m.Images[p.Host] == nil {
				m.Images[p.Host] = map[string]bool{}
			}
			m.Images[p.Host][j.Record.Spec.Image] = true
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
func (j *Job) finalState() job.FinalState {
	if !j.Record.Cancelled || j.Record.Gang != nil && j.Record.Gang.Done {
		return job.FinalState{Phase: api.Done, Done: j.Record.Spec.Tasks}
	}
	return job.FinalState{Phase: api.Cancelled, Done: j.UserState(false).Done}
}

// RangeRecord returns the key and version of the record that holds task range n.
func (j *Job) RangeRecord(n int) (string, uint64) {
	if j.Record.Inline {
		return JobPrefix + j.Record.Spec.UID, j.Version
	}
	return TaskRangeKey(j.Record.Spec.UID, j.Record.Generation, n), j.Ranges[n].Version
}

// UserState tells users of a living job. One that was cancelled is told so at once, or
// else (config.ConfirmsEmpty) when it has no task left.
func (j *Job) UserState(confirmsEmpty bool) api.State {
	s := api.State{UID: j.Record.Spec.UID, Phase: api.Pending, Done: j.Record.FinishedTasks()}
	g := j.Record.Gang
	if g != nil && g.Done { // committed, though not all of its records are gone yet
		return api.State{UID: s.UID, Phase: api.Done, Done: j.Record.Spec.Tasks}
	}
	for n, c := range j.Ranges {
		if !j.Record.RangeFinished(n) {
			s.Done += c.Record.DoneCount()
		}
		s.Running += len(c.Record.Placements)
	}
	switch {
	case j.Record.Cancelled && (s.Running == 0 || !confirmsEmpty):
		s.Phase = api.Cancelled
	case j.Record.Spec.Kind == api.Gang && (g == nil || !g.Launched):
		s.Running = 0 // places that are held run nothing yet
	case s.Running > 0:
		s.Phase = api.Running
	}
	return s
}

// SavesOnStop reports whether tasks of the job that have to leave save their progress first:
// of a gang only if all are told to, for the save fails without one of them.
func SavesOnStop(j *Job) bool {
	g := j.Record.Gang
	return !j.IsCancelled() && j.Record.Spec.CheckpointS > 0 && (!IsGang(j) || g != nil && g.Stopping)
}

func CompareAge(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Record.AcceptedMS, b.Record.AcceptedMS), cmp.Compare(a.Record.Spec.UID, b.Record.Spec.UID))
}

// TaskName is the task's name on the wire.
func (pl *PlacedTask) TaskName(j *Job) string {
	return api.TaskName(pl.UID, pl.RangeIndex*j.Record.RangeSize+pl.Index)
}

func TaskRequestOf(r *api.Job) sched.TaskRequest {
	return sched.TaskRequest{
		Need:         ResourcesOf(r),
		MachineTypes: r.MachineTypes,
		Zone:         r.Zone,
		Spot:         r.Spot,
		Image:        r.Image,
		Service:      r.Kind == api.Service,
	}
}

// PlacedAtMS is when a task was placed, in milliseconds of the time of day.
func PlacedAtMS(j *Job, pl *PlacedTask) int64 {
	return j.Record.AcceptedMS + pl.Placement.PlacedS*1000
}

func IsGang(j *Job) bool { return j.Record.Spec.Kind == api.Gang }
