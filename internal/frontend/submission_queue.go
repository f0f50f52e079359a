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

// Submission is a job submission that is to be committed to the state service.
type Submission struct {
	Ctx      context.Context // context of the user's request
	Record   *job.Record
	Bytes    int                     // size of the record
	Response chan transport.Response // buffered: sending the one response does not block without a receiver
}

// submissionQueue contains the submissions that wait to be committed. The goroutine that sets
// committing ensures that batches are committed until the queue is empty.
type submissionQueue struct {
	mutex      sync.Mutex
	waiting    []*Submission
	committing bool
}

// maxWaitingSubmissions bounds the queue. Submissions beyond it are answered at once with a request
// to retry.
const maxWaitingSubmissions = 64

// add appends a submission to the queue. added is false if the queue is full. mustCommit is true if
// the caller has to commit the queued submissions.
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

// nextBatch removes the next batch to commit from the queue and returns it. The batch has at most
// maxSize submissions, at most one for each job, and records that fit into one transaction.
func (q *submissionQueue) nextBatch(maxSize int) []*Submission {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var batch, remaining []*Submission
	bytes := 0
	for _, s := range q.waiting {
		if s.Ctx.Err() != nil {
			continue // the user was asked to retry and may already do so on another controller
		}
		sameJob := func(other *Submission) bool { return other.Record.Spec.UID == s.Record.Spec.UID }
		fits := len(batch) == 0 || len(batch) < maxSize && bytes+s.Bytes <= statecache.MaxTransactionBytes
		if fits && !slices.ContainsFunc(batch, sameJob) {
			batch = append(batch, s)
			bytes += s.Bytes
		} else {
			remaining = append(remaining, s)
		}
	}
	q.waiting = remaining
	return batch
}

// finishBatch reports whether more submissions wait. If none do, the caller of the next add has to
// commit.
func (q *submissionQueue) finishBatch() (moreWaiting bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.committing = len(q.waiting) > 0
	return q.committing
}

// commitSubmission queues a submission and waits for its response. It commits the next batch itself
// if no other goroutine does.
func (f *Frontend) commitSubmission(s *Submission) transport.Response {
	added, mustCommit := f.submissions.add(s)
	if !added {
		return respond.Busy
	}
	if mustCommit {
		f.commitNextBatch()
	}
	select {
	case response := <-s.Response:
		return response
	case <-s.Ctx.Done():
		return respond.Busy
	}
}

// commitNextBatch commits the next batch of the queue. Another goroutine commits the batch after
// it, so that the caller's user does not wait for later submissions. The goroutines end when the
// queue is empty; each batch takes timing.UserRequestTimeout at most.
func (f *Frontend) commitNextBatch() {
	if batch := f.submissions.nextBatch(f.maxBatchSize()); len(batch) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), timing.UserRequestTimeout)
		f.AcceptBatch(ctx, batch)
		cancel()
	}
	if f.submissions.finishBatch() {
		f.node.RunAsync(f.commitNextBatch)
	}
}

// maxBatchSize returns the maximum number of submissions in one transaction, each of which is one
// write. It is half of the writes that a transaction may contain or, if fewer, that this controller
// may make in a second, so that a batch does not use up the write budget of decisions.
func (f *Frontend) maxBatchSize() int {
	return max(1, min(f.node.Settings.LowestLimits().TxnOps, f.sync.WritesPerSecond())/2)
}

// AcceptBatch commits submissions of different jobs in one transaction and sends each submission
// its response. If the transaction conflicts because some of the jobs already exist, it retries
// without these.
func (f *Frontend) AcceptBatch(ctx context.Context, batch []*Submission) {
	for len(batch) > 0 {
		priority := batchPriority(batch)
		committed, conflicts, err := f.sync.Commit(ctx, "accepted", acceptanceTransaction(batch), priority)
		if committed {
			f.confirmAccepted(batch)
			if priority == store.PriorityGang {
				f.gangAccepted.Notify()
			}
			f.wake.Notify()
			return
		}
		if err != nil { // refused or outcome unknown: the state shows whether the jobs were accepted
			f.respondWithState(batch)
			return
		}
		unrecorded, existing := splitByConflicts(batch, conflicts)
		if len(existing) == 0 { // conflict on another record, or transaction too large
			for _, s := range unrecorded {
				s.Response <- respond.Busy
			}
			return
		}
		f.respondWithState(existing)
		batch = unrecorded
	}
}

// acceptanceTransaction returns the transaction that accepts a batch of jobs. Its preconditions are
// that none of the jobs exists, neither unfinished nor finished.
func acceptanceTransaction(batch []*Submission) *statecache.Transaction {
	txn := statecache.NewTransaction()
	for _, s := range batch {
		uid := s.Record.Spec.UID
		txn.Require(statecache.JobKey(uid), 0)
		txn.Require(statecache.FinalStateKey(uid), 0)
		txn.Put(statecache.JobKey(uid), s.Record)
	}
	return txn
}

// batchPriority returns the priority of a batch's transaction: that of gangs if it contains a gang.
func batchPriority(batch []*Submission) store.Priority {
	if slices.ContainsFunc(batch, func(s *Submission) bool { return s.Record.Spec.Kind == api.Gang }) {
		return store.PriorityGang
	}
	return store.PrioritySubmission
}

// splitByConflicts splits a batch whose transaction conflicted into submissions of jobs that have
// no record yet and can be retried, and those of jobs that exist. The keys in conflicts are those
// with a version other than the required 0.
func splitByConflicts(batch []*Submission, conflicts []string) (unrecorded, existing []*Submission) {
	for _, s := range batch {
		uid := s.Record.Spec.UID
		if slices.Contains(conflicts, statecache.JobKey(uid)) || slices.Contains(conflicts, statecache.FinalStateKey(uid)) {
			existing = append(existing, s)
		} else {
			unrecorded = append(unrecorded, s)
		}
	}
	return unrecorded, existing
}

// confirmAccepted sends each submission of a batch the response that its job is accepted.
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

// respondWithState sends each submission the state of its job. If the job is unknown or its state
// cannot be read, the user is asked to retry, because the acceptance may still be committed.
func (f *Frontend) respondWithState(submissions []*Submission) {
	for _, s := range submissions {
		if current, err := f.jobState(s.Ctx, s.Record.Spec.UID); err == nil {
			s.Response <- stateResponse(current, nil)
		} else {
			s.Response <- respond.Busy
		}
	}
}
