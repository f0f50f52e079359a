package golden

import (
	"encoding/json"
	"slices"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/job"
	"violetturn/internal/peer"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/store"
	"violetturn/internal/zonehealth"
)

func pointer[T any](v T) *T { return &v }

// records returns values with all fields set, one for each line of records.txt.
func records() []goldenValue {
	return slices.Concat(
		apiMessages(), cloudMessages(), storeMessages(), jobRecords(), shardRecords(), zoneRecords(), peerMessages(),
	)
}

// apiMessages returns the messages exchanged with users and workers.
func apiMessages() []goldenValue {
	return []goldenValue{
		{"api.Run", &api.Job{
			UID:                 "run-1",
			Class:               "l",
			Team:                "o",
			Kind:                api.Array,
			Priority:            "idle",
			Tasks:               3,
			CPUs:                1.5,
			GPUs:                1,
			MemGB:               4,
			Image:               "i",
			ImageGB:             2.5,
			MachineTypes:        []string{"m"},
			Zone:                "x",
			SingleZone:          true,
			Spread:              true,
			AllowSpot:           true,
			EstimatedRunS:       60,
			CheckpointIntervalS: 30,
			SaveDurationS:       2,
			DeadlineS:           pointer(90.5),
		}},
		{"api.State", &api.JobState{UID: "run-1", Phase: api.JobRunning, Done: 1, Running: 2}},
		{"api.Checkin", &api.Heartbeat{
			Host:        "i-1",
			Addr:        "10.0.0.1:9",
			MachineType: "m",
			Zone:        "x",
			Spot:        true,
			AgentEpoch:  2,
			Sequence:    3,
			Token:       4,
			SpotNoticeS: pointer(5.5),
			Tasks:       []api.TaskState{{Task: "run-1/0", Attempt: 2, Phase: api.TaskEnded, Cause: api.CauseDone, Saved: true}},
		}},
		{"api.Orders", &api.CommandBatch{
			Token:      4,
			AgentEpoch: 2,
			Commands: []api.Command{
				{Action: api.Stop, Task: "run-1/0", Attempt: 2, GraceS: pointer(10.0)},
				{Action: api.Launch, Task: "run-1/1", Attempt: 1},
			},
		}},
	}
}

// cloudMessages returns the messages exchanged with the cloud.
func cloudMessages() []goldenValue {
	return []goldenValue{
		{"cloud.Rental", &cloud.RentalRequest{Name: "r-1", MachineType: "m", Zone: "x", Spot: true, Count: 3}},
		{"cloud.Host", &cloud.Machine{
			UID: "i-1", Addr: "10.0.0.1:9", MachineType: "m", Zone: "x", Spot: true, Phase: cloud.MachineRunning, AgeS: 1.5,
		}},
		{"cloud.Flavor", &cloud.MachineType{
			Name:        "m",
			CPUs:        8,
			GPUs:        2,
			MemGB:       64,
			CacheGB:     90,
			FetchGBPerS: 0.5,
			Price:       3,
			SpotPrice:   1,
			BootS:       60,
			Zones:       []string{"x"},
		}},
	}
}

// storeMessages returns the messages exchanged with the state service.
func storeMessages() []goldenValue {
	return []goldenValue{
		{"store.Txn", &store.Txn{
			Preconditions: []store.Precondition{{Key: "a", Version: 1}},
			Writes:        []store.Write{{WriteKey: "a", Value: json.RawMessage(`1`), Lease: pointer(uint64(7))}, {DeleteKey: "b"}},
		}},
		{"store.Item", &store.Item{Key: "a", Value: json.RawMessage(`1`), Version: 2}},
		{"store.Change", &store.Change{WrittenKey: "a", Value: json.RawMessage(`1`), Version: 2}},
	}
}

// goldenJob returns the submitted job that a job record contains.
func goldenJob(kind api.JobKind, tasks int) api.Job {
	return api.Job{
		UID: "run-1", Class: "l", Team: "o", Kind: kind, Priority: "idle", Tasks: tasks, CPUs: 1, MemGB: 4, Image: "i",
	}
}

// jobRecords returns the records of jobs.
func jobRecords() []goldenValue {
	return []goldenValue{
		{"job.Past", &job.FinalState{Phase: api.JobDone, Done: 3}},
		{"job.Chunk", &job.TaskRange{
			LastAttempt: 3,
			ErrorStreak: 1,
			DoneBits:    "AQ",
			Placements:  map[int]*job.Placement{1: {Attempt: 2, Host: "i-1", Stopping: true, PlacedS: 9}},
		}},
		{"job.Gang", &job.Gang{
			Attempt:       2,
			Launched:      true,
			Stopping:      true,
			Ended:         true,
			Done:          true,
			LaunchedS:     9,
			ErrorStreak:   1,
			FailureStreak: 2,
		}},
		{"job.Main inner", &job.Record{
			Spec:  goldenJob(api.Array, 3),
			Shard: "n0", AcceptedMS: 7, RangeSize: 4, Cancelled: true, FinishedRanges: []int{0, 1},
			Zone: "x", Inline: true, InlineRange: &job.TaskRange{LastAttempt: 1},
		}},
		{"job.Main divided", &job.Record{
			Spec:  goldenJob(api.Gang, 9),
			Shard: "n0", AcceptedMS: 7, RangeSize: 4,
			Generation: 1, SpreadRangeSize: 8, Frozen: true, Gang: &job.Gang{Attempt: 1},
		}},
	}
}

// shardRecords returns the records of shards, machines and controllers.
func shardRecords() []goldenValue {
	return []goldenValue{
		{"part.Own", &shard.NodeRecord{
			Node:               "n0",
			Incarnation:        5,
			Term:               6,
			WorkersUnreachable: true,
			HasWorkerContact:   true,
			SchemaVersion:      2,
		}},
		{"part.Mark", &shard.CapabilityRecord{SchemaVersion: 2}},
		{"part.Mark with features", &shard.CapabilityRecord{SchemaVersion: 2, Features: []string{"zone_recovery"}}},
		{"part.Own with features", &shard.NodeRecord{Node: "n0", Incarnation: 5, SchemaVersion: 2, Features: []string{"zone_recovery"}}},
		{"part.Record", &shard.CapacityRecord{
			Term:                 6,
			Leader:               "n0",
			Released:             true,
			PredecessorMayAnswer: true,
			Free: shard.FreeCapacity{
				"i-1": {CPUs: 8, GPUs: 2, MemGB: 64}, "i-2": {CPUs: 1.5, MemGB: 4}, "i-3": {CPUs: 8, GPUs: 2, MemGB: 64},
			},
			QuotaUse: map[string]sched.Resources{"a": {CPUs: 1, GPUs: 2, MemGB: 3}},
		}},
		{"part.Machine", &shard.Machine{
			Shard:        "n0",
			MachineType:  "m",
			Zone:         "x",
			Spot:         true,
			Addr:         "10.0.0.1:9",
			RentedFor:    "n1",
			RegisteredMS: 7,
		}},
		{"part.Page", &shard.MachinePage{"i-1": {Shard: "n0", MachineType: "m", Zone: "x", RegisteredMS: 7}}},
		{"part.Usage", &shard.QuotaRecord{Held: map[string]sched.Resources{"n0": {CPUs: 1, GPUs: 2, MemGB: 3}}}},
	}
}

// zoneRecords returns the records of zones.
func zoneRecords() []goldenValue {
	return []goldenValue{
		{"zonehealth.Record", &zonehealth.Record{
			State: zonehealth.Recovering, Transitions: 7, SinceMS: 3, LastFailedMS: 2,
			SlowStartShare: 0.25, MachinesBeforeFailure: 9, HealthyWatermark: 1,
			Observations: map[string]zonehealth.Observation{"n0": {
				Healthy: 1, Lost: 8, Unclear: 2, RentalsRefused: true,
				WaitingProduction: []zonehealth.Demand{
					{Need: sched.Resources{CPUs: 4, GPUs: 1, MemGB: 29}, Spot: true, Tasks: 3},
				},
			}},
		}},
	}
}

// peerMessages returns the messages between controllers.
func peerMessages() []goldenValue {
	return []goldenValue{
		{"peer.Request", &peer.Request{Kind: peer.Request_KIND_ACKNOWLEDGE, From: "n0", Uid: "run-1", Body: []byte("b"), Since: 9}},
		{"peer.Reply", &peer.Reply{
			StoreReached: true,
			Status:       200,
			Body:         []byte("b"),
			RetryAfter:   3,
			Acknowledgement: &peer.Acknowledgement{
				Complete:     true,
				Cancelled:    []string{"run-1"},
				ShardLeaders: []*peer.ShardLeader{{Shard: "n0", Leader: "n1", Term: 6}},
			},
		}},
	}
}
