package controller

import (
	"context"
	"encoding/json"
	"math"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/numeric"
	"violetturn/internal/simulator"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// hugeSaveDuration is a save duration of a submission that overflows when it is doubled.
const hugeSaveDuration = math.MaxFloat64

// Guards against the end of every controller that stops a task whose save duration overflows when it
// is doubled. The tasks are stopped because the cloud reclaims their machines.
func TestHugeSaveDurationEndsNoController(t *testing.T) {
	for name, kind := range map[string]api.JobKind{"array": api.Array, "gang": api.Gang} {
		t.Run(name, func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitSavingJob(kind, hugeSaveDuration)
			s.changeRecordedSpec(t, id, func(spec map[string]any) { // read by controllers of an earlier version too
				if recorded, _ := spec["stowS"].(float64); recorded != numeric.MaxAmount {
					t.Errorf("recorded save duration is %g s, want %g", recorded, numeric.MaxAmount)
				}
			})
			s.runUntil(t, 80, "tasks run", func() bool { return s.runningTasks(id) == 2 })
			s.reclaimSpotMachines()
			s.runUntil(t, 200, "job is done", s.isDone(id))
		})
	}
}

// Guards against the same end by a job that an earlier version has accepted and recorded: each
// controller that reads the record would end.
func TestRecordedHugeSaveDurationEndsNoController(t *testing.T) {
	for name, kind := range map[string]api.JobKind{"array": api.Array, "gang": api.Gang} {
		t.Run(name, func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitSavingJob(kind, 1)
			s.runUntil(t, 80, "tasks run", func() bool { return s.runningTasks(id) == 2 })
			s.environment.Jobs[id].Spec.SaveDurationS = hugeSaveDuration
			s.changeRecordedSpec(t, id, func(spec map[string]any) { spec["stowS"] = hugeSaveDuration })
			s.restartNodes(nil)
			for _, n := range s.nodes {
				if read := n.state().Cache.Jobs[id].Record.Spec.SaveDurationS; read != numeric.MaxAmount {
					t.Errorf("%s reads a save duration of %g s, want %g", n.name, read, numeric.MaxAmount)
				}
			}
			s.reclaimSpotMachines()
			s.runUntil(t, 200, "job is done", s.isDone(id))
		})
	}
}

// submitSavingJob submits a job of two tasks that run on spot machines and save checkpoints.
func (s *testCluster) submitSavingJob(kind api.JobKind, saveDurationS float64) string {
	return s.submitArray(2, 20*time.Second, func(j *api.Job) {
		j.Kind, j.AllowSpot, j.CheckpointIntervalS, j.SaveDurationS = kind, true, 2, saveDurationS
	})
}

// reclaimSpotMachines notifies the workers of all spot machines that the cloud reclaims them.
func (s *testCluster) reclaimSpotMachines() {
	noticeS := 20.0
	for _, worker := range s.environment.Cloud.WorkersByHost {
		if worker.Spot {
			worker.SpotNoticeS = &noticeS
		}
	}
}

// changeRecordedSpec changes the specification in a job's main record in the state service.
func (s *testCluster) changeRecordedSpec(t fataler, uid string, change func(spec map[string]any)) {
	t.Helper()
	client, key := simulator.StoreClient{Store: s.environment.Store}, statecache.JobKey(uid)
	item, found, err := client.Get(context.Background(), key, 0)
	if err != nil || !found {
		t.Fatalf("record of %s: found %t, error %v, want the record", uid, found, err)
	}
	var record map[string]any
	if err := json.Unmarshal(item.Value, &record); err != nil {
		t.Fatalf("decoding the record of %s: %v", uid, err)
	}
	spec, _ := record["r"].(map[string]any)
	change(spec)
	s.writeRecord(t, key, api.MustMarshal(record))
}

// writeRecord writes a record into the state service without a controller.
func (s *testCluster) writeRecord(t fataler, key string, value []byte) {
	t.Helper()
	client := simulator.StoreClient{Store: s.environment.Store, TxnOps: 1, MaxValueBytes: 1 << 16}
	txn := &store.Txn{Writes: []store.Write{{WriteKey: key, Value: value}}}
	if result, err := client.Commit(context.Background(), txn, 0); err != nil || !result.Committed {
		t.Fatalf("writing %s: committed %t, error %v", key, result.Committed, err)
	}
}

// Guards against the end of a controller by a record with a number that JSON has no form for: the
// transaction is not sent, and the controller goes on.
func TestRecordThatCannotBeEncodedIsNotSent(t *testing.T) {
	s := newReadyCluster()
	txn := statecache.NewTransaction()
	txn.Put(statecache.JobKey("run-1"), job.Record{Spec: api.Job{UID: "run-1", CPUs: math.Inf(1)}})
	sent := s.environment.Store.SentWrites
	committed, _, err := s.nodes[0].controller.sync.Commit(t.Context(), "test", txn, store.PriorityDecision)
	if committed || err == nil || s.environment.Store.SentWrites != sent {
		t.Errorf("committed %t, error %v, %d writes sent; want an error and nothing sent",
			committed, err, s.environment.Store.SentWrites-sent)
	}
	id := s.submitArray(2, time.Second, nil)
	s.runUntil(t, 100, "a later job is done", s.isDone(id))
}

// Guards against tasks that wait forever because the free memory of a huge machine is recorded as a
// negative amount.
func TestHugeMachineIsUsed(t *testing.T) {
	s := newTestCluster()
	s.environment.MachineType.MemGB = math.MaxFloat64
	s.runFor(10)
	id := s.submitArray(4, 5*time.Second, nil)
	s.runUntil(t, 200, "job is done", s.isDone(id))
}

// Guards against deployments without machines: for values of more than 48 KiB, the transaction that
// registers a machine counted as full before it had any page.
func TestMachinesAreRegisteredWithLargeValues(t *testing.T) {
	for _, valueKB := range []float64{48, 64} {
		s := newTestCluster()
		s.setStateLimits(valueKB, 20, valueKB, 20)
		for i := range s.nodes {
			s.startNode(i)
		}
		s.runFor(10)
		id := s.submitArray(4, 5*time.Second, nil)
		s.runUntil(t, 200, "job is done", s.isDone(id))
	}
}

// Guards against a team that uses more than its limit by tasks which need so little that the usage of
// each was recorded as zero.
func TestTinyTasksStayWithinTheirTeamsLimit(t *testing.T) {
	s := newTestCluster()
	s.environment.TeamGPULimits["a"] = math.SmallestNonzeroFloat64
	for i := range s.nodes {
		s.startNode(i)
	}
	s.runFor(10)
	for _, tasks := range []int{4, 10} {
		s.submitArray(tasks, time.Minute, func(j *api.Job) { j.Team, j.GPUs, j.CPUs = "a", 1e-7, 0.1 })
		s.runRounds(t, 60)
	}
}

// Guards against terms that begin again at 1, below the tokens that workers have, when the record of the
// highest term has a number that is no term.
func TestTermsRiseWhateverTheTermRecordHas(t *testing.T) {
	for _, value := range []string{"-1", "1.5", "1e3", "18446744073709551616", "18446744073709551615", `"7"`, "null"} {
		t.Run(value, func(t *testing.T) {
			s := newReadyCluster()
			s.submitService(4, nil)
			s.runRounds(t, 60)
			before := s.highestLeaderTerm()
			s.writeRecord(t, statecache.TermKey, []byte(value))
			s.restartNodes(nil)
			s.runRounds(t, 60)
			for _, n := range s.nodes {
				for shard, leader := range n.state().Cache.Leaders {
					if leader.Record.Term <= before || leader.Record.Term > before+100 {
						t.Errorf("%s: shard %s has term %d, want one a little above %d", n.name, shard, leader.Record.Term, before)
					}
				}
			}
			id := s.submitArray(2, time.Second, nil)
			s.runUntil(t, 100, "a later job is done", s.isDone(id))
		})
	}
}

// highestLeaderTerm returns the highest term of a shard's leader.
func (s *testCluster) highestLeaderTerm() uint64 {
	highest := uint64(0)
	for _, leader := range s.nodes[0].state().Cache.Leaders {
		highest = max(highest, leader.Record.Term)
	}
	return highest
}

// Guards against a loop that logs summaries without a pause, for a worker lease next to zero.
func TestSummariesPauseForAnyLease(t *testing.T) {
	for _, leaseS := range []float64{0, math.SmallestNonzeroFloat64, 1e-300, 0.001, 10, math.MaxFloat64} {
		settings := &config.Settings{}
		settings.Facts.Workers.LeaseS = leaseS
		if interval := summaryInterval(settings); interval < time.Second {
			t.Errorf("lease of %g s: summaries are logged every %v, want at least 1s", leaseS, interval)
		}
	}
}
