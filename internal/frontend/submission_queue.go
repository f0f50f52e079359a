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

// Submission is a submission on its way to the state service.
type Submission struct {
	Ctx      context.Context // of the user's request
	Record   *job.Record
	Response chan transport.Response // takes one response without anybody waiting for it
}

// submissionQueue is the submissions that wait to be committed. Whoever sets committing commits
// those in the queue until it is empty.
type submissionQueue struct {
	mutex      sync.Mutex
	waiting    []*Submission
	committing bool
}

// maxWaitingSubmissions bounds the queue: a user beyond it is told at once to come back.
const maxWaitingSubmissions = 64

// add puts a submission into the queue. It reports whether there was room for it, and whether the
// caller has to commit what is in the queue.
func (q *submissionQueue) add(s *Submission) (added, mustCommit bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.waiting) >= maxWaitingSubmissions {
		return false, false
	}
	q.waiting = append(q.waiting, s)
	mustCommit = !q.committing
	q.committing = true
	return true, mustCommit
}

// nextBatch removes the submissions that are to be committed next, size at most and one of each job,
// from the queue.
func (q *submissionQueue) nextBatch(size int) []*Submission {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var batch, rest []*Submission
	for _, s := range q.waiting {
		if s.Ctx.Err() != nil {
			continue // its user was told to come back, and may be asking elsewhere
		}
		sameJob := func(other *Submission) bool { return other.Record.Spec.UID == s.Record.Spec.UID }
		if len(batch) < size && !slices.ContainsFunc(batch, sameJob) {
			batch = append(batch, s)
		} else {
			rest = append(rest, s)
		}
	}
	q.waiting = rest
	return batch
}

// batchDone reports whether there is more to commit; if not, the next one who adds a submission
// has to commit it.
func (q *submissionQueue) batchDone() (more bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.committing = len(q.waiting) > 0
	return q.committing
}

// commitSubmission has a submission committed and returns its response.
func (f *Frontend) commitSubmission(s *Submission) transport.Response {
	added, mustCommit := f.submissions.add(s)
	if !added {
		return respond.Busy
	}
	if mustCommit {
		f.commitQueued()
	}
	select {
	case response := <-s.Response:
		return response
	case <-s.Ctx.Done():
		return respond.Busy
	}
}

// commitQueued commits the next batch of the queue, and has another goroutine commit the one
// after it, so that its caller's user doesn't wait for those who came later. The goroutines end
// with the queue; each batch takes timing.UserRequestTimeout at most.
func (f *Frontend) commitQueued() {
	if batch := f.submissions.nextBatch(f.maxBatch()); len(batch) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), timing.UserRequestTimeout)
		f.AcceptBatch(ctx, batch)
		cancel()
	}
	if f.submissions.batchDone() {
		f.node.RunAsync(f.commitQueued)
	}
}

// maxBatch is how many submissions are committed in one transaction: half of what one takes, so
// that a batch does not use up the changes that decisions need.
func (f *Frontend) maxBatch() int {
	return max(1, min(f.node.Settings.LowestLimits().TxnOps, f.sync.WritesPerSecond())/2)
}

// AcceptBatch commits submissions of different jobs in one transaction and sends each its
// response. Without those that turn out to be known already the others are tried again.
func (f *Frontend) AcceptBatch(ctx context.Context, batch []*Submission) {
	for len(batch) > 0 {
		priority := batchPriority(batch)
		done, conflicts, err := f.sync.Commit(ctx, "accepted", acceptance(batch), priority)
		if done {
			f.confirmAccepted(batch)
			if priority == store.PriorityGang {
				f.gangAccepted.Notify()
			}
			f.wake.Notify()
			return
		}
		if err != nil { // the outcome is in doubt: only reading settles it
			f.answerByState(batch)
			return
		}
		rest, known := splitKnown(batch, conflicts)
		if len(known) == 0 { // another record was in the way, or the transaction was too large
			for _, s := range rest {
				s.Response <- respond.Busy
			}
			return
		}
		f.answerByState(known)
		batch = rest
	}
}

// acceptance returns the transaction that accepts jobs which must not be known.
func acceptance(batch []*Submission) *statecache.Transaction {
	t := statecache.NewTransaction()
	for _, s := range batch {
		uid := s.Record.Spec.UID
		t.Require(statecache.JobKey(uid), 0)
		t.Require(statecache.FinalStateKey(uid), 0)
		t.Put(statecache.JobKey(uid), s.Record)
	}
	return t
}

// batchPriority returns the priority of a batch's transaction: that of gangs if there is one in it.
func batchPriority(batch []*Submission) store.Priority {
	if slices.ContainsFunc(batch, func(s *Submission) bool { return s.Record.Spec.Kind == api.Gang }) {
		return store.PriorityGang
	}
	return store.PrioritySubmission
}

// splitKnown parts a batch whose transaction conflicted into the jobs that can be tried again and
// those that are known, by the keys whose versions were others than 0.
func splitKnown(batch []*Submission, conflicts []string) (rest, known []*Submission) {
	for _, s := range batch {
		uid := s.Record.Spec.UID
		if slices.Contains(conflicts, statecache.JobKey(uid)) || slices.Contains(conflicts, statecache.FinalStateKey(uid)) {
			known = append(known, s)
		} else {
			rest = append(rest, s)
		}
	}
	return rest, known
}

// confirmAccepted tells the users of a batch that their jobs are accepted.
func (f *Frontend) confirmAccepted(batch []*Submission) {
	for _, s := range batch {
		spec := &s.Record.Spec
		f.node.Log.Info(
			"job accepted",
			"job", spec.UID,
			"class", spec.Class,
			"team", spec.Team,
			"priority", spec.Priority,
			"tasks", spec.Tasks,
		)
		s.Response <- phaseResponse(statusCreated, spec.UID, api.JobPending)
	}
}

// answerByState answers submissions with the states of their jobs. Users of jobs that are unknown
// come back: an acceptance may still be under way.
func (f *Frontend) answerByState(submissions []*Submission) {
	for _, s := range submissions {
		if known, err := f.jobState(s.Ctx, s.Record.Spec.UID); err == nil {
			s.Response <- stateResponse(known, nil)
		} else {
			s.Response <- respond.Busy
		}
	}
}
