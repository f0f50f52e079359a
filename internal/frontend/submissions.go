package frontend

import (
	"context"
	"slices"
	"sync"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/respond"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/timing"
	"violetturn/internal/transport"
)

// submissionQueue is the submissions to be committed.
type submissionQueue struct {
	sync.Mutex
	queue []*Submission
	busy  bool
}

// Submission is a submission on its way to the store.
type Submission struct {
	Ctx      context.Context
	Record   *job.Record
	Response chan transport.Response
}

// Submit accepts a job, or tells its user why not. A known job is answered with its state,
// whatever the repetition looks like.
func (rf *Frontend) Submit(ctx context.Context, body []byte) transport.Response {
	r, err := api.ParseJob(body)
	if err != nil {
		refusal := respond.JSON(400, map[string]string{"error": err.Error()})
		if uid, ok := api.UIDOf(body); ok {
			return rf.stateOrRefusal(ctx, uid, refusal)
		}
		return refusal
	}
	state := rf.guard.Lock()
	undecided := len(state.Catalog.MachineTypes) == 0
	_, live := state.Cache.Jobs[r.UID]
	rf.guard.Unlock()
	if undecided {
		return rf.stateOrRefusal(ctx, r.UID, respond.Busy)
	}
	state = rf.guard.Lock()
	why := state.Catalog.RejectionReason(r)
	rf.guard.Unlock()
	if why != "" {
		return rf.stateOrRefusal(ctx, r.UID, respond.JSON(422, map[string]string{"error": why}))
	}
	if live {
		if s, found, err := rf.jobState(ctx, r.UID); err != nil {
			return respond.Busy
		} else if found {
			return respond.JSON(200, s)
		}
	}
	if !rf.sync.StoreReachable() || !rf.acceptsKind(r.Kind) {
		return respond.Busy
	}
	m := &job.Record{Spec: *r, Shard: rf.node.Settings.HostName, AcceptedMS: rf.node.Now().UnixMilli()}
	size := len(api.JSON(m))
	if size > state.Schema.MaxValueBytes() { // room for what is added later
		return rf.stateOrRefusal(ctx, r.UID, respond.JSON(400, map[string]string{"error": "submission too long"}))
	}
	state = rf.guard.Lock()
	dense := state.Schema.Upgraded()
	rf.guard.Unlock()
	m.ChooseLayout(rf.node.Settings.LowestLimits().ValueKB, size, dense)
	return rf.commitSubmission(&Submission{Ctx: ctx, Record: m, Response: make(chan transport.Response, 1)})
}

// stateOrRefusal answers with the state of a job that is known, or else with a refusal.
func (rf *Frontend) stateOrRefusal(ctx context.Context, uid string, refusal transport.Response) transport.Response {
	s, found, err := rf.jobState(ctx, uid)
	switch {
	case err != nil:
		return respond.Busy
	case found:
		return respond.JSON(200, s)
	}
	return refusal
}

// commitSubmission has a submission committed and gives its answer.
func (rf *Frontend) commitSubmission(a *Submission) transport.Response {
	if !rf.enqueue(a) {
		return respond.Busy
	}
	select {
	case resp := <-a.Response:
		return resp
	case <-a.Ctx.Done():
		return respond.Busy
	}
}

// acceptsKind reports whether a job of that shape can be kept safely: a controller of the
// version before would place an gang task by task.
func (rf *Frontend) acceptsKind(shape string) bool {
	state := rf.guard.Lock()
	defer rf.guard.Unlock()
	return shape != api.Gang || state.Schema.Upgraded()
}

// enqueue adds a submission to the bounded line of those to be committed, and
// sees to it that somebody commits them; false when the line is full.
func (rf *Frontend) enqueue(a *Submission) bool {
	const most = 64
	rf.submissions.Lock()
	if len(rf.submissions.queue) >= most {
		rf.submissions.Unlock()
		return false
	}
	rf.submissions.queue = append(rf.submissions.queue, a)
	lead := !rf.submissions.busy
	rf.submissions.busy = true
	rf.submissions.Unlock()
	if lead {
		rf.commitQueued()
	}
	return true
}

// commitQueued commits the submissions in line, several in one transaction when
// they came together: half of what a transaction takes, so that one batch does
// not use up the writes that decisions need.
func (rf *Frontend) commitQueued() {
	most := max(1, min(rf.node.Settings.LowestLimits().TxnOps, rf.sync.WritesPerSecond())/2)
	var batch, rest []*Submission
	rf.submissions.Lock()
	for _, a := range rf.submissions.queue {
		if a.Ctx.Err() != nil {
			continue // its user was told to come back, and may be asking elsewhere
		}
		if len(batch) < most && !containsUID(batch, a) {
			batch = append(batch, a)
		} else {
			rest = append(rest, a)
		}
	}
	rf.submissions.queue = rest
	rf.submissions.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timing.UserRequestTimeout)
	if len(batch) > 0 {
		rf.AcceptBatch(ctx, batch)
	}
	cancel()
	rf.submissions.Lock()
	more := len(rf.submissions.queue) > 0
	rf.submissions.busy = more
	rf.submissions.Unlock()
	if more {
		rf.node.RunAsync(rf.commitQueued)
	}
}

func containsUID(batch []*Submission, a *Submission) bool {
	for _, b := range batch {
		if b.Record.Spec.UID == a.Record.Spec.UID {
			return true
		}
	}
	return false
}

func (rf *Frontend) AcceptBatch(ctx context.Context, batch []*Submission) {
	for len(batch) > 0 {
		t := statecache.NewTransaction()
		for _, a := range batch {
			uid := a.Record.Spec.UID
			t.Require(statecache.JobKey(uid), 0)
			t.Require(statecache.FinalStateKey(uid), 0)
			t.Put(statecache.JobKey(uid), a.Record)
		}
		priority := store.PrioritySubmission
		if slices.ContainsFunc(batch, func(a *Submission) bool { return a.Record.Spec.Kind == api.Gang }) {
			priority = store.PriorityGang
		}
		done, failed, err := rf.sync.Commit(ctx, "accepted", t, priority)
		if done {
			for _, a := range batch {
				uid := a.Record.Spec.UID
				rf.node.Log.Info(
					"job accepted", "job", uid, "class", a.Record.Spec.Class, "team", a.Record.Spec.Team, "priority",
					a.Record.Spec.Priority, "tasks", a.Record.Spec.Tasks,
				)
				a.Response <- respond.JSON(201, map[string]string{"uid": uid, "phase": api.Pending})
			}
			if priority == store.PriorityGang {
				select {
				case rf.gangAccepted <- struct{}{}:
				default:
				}
			}
			rf.wake.Notify()
			return
		}
		var rest []*Submission
		for _, a := range batch {
			uid := a.Record.Spec.UID
			if err == nil && !contains(failed, statecache.JobKey(uid)) && !contains(failed, statecache.FinalStateKey(uid)) {
				rest = append(rest, a)
				continue
			}
			// Known already, or the outcome is in doubt: only reading settles it.
			if s, found, kerr := rf.jobState(a.Ctx, uid); kerr == nil && found {
				a.Response <- respond.JSON(200, s)
			} else {
				a.Response <- respond.Busy
			}
		}
		if err == nil && len(rest) == len(batch) {
			for _, a := range rest {
				a.Response <- respond.Busy
			}
			return
		}
		batch = rest
	}
}

func contains(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}
	return false
}
