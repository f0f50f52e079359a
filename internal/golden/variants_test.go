package golden

import (
	"encoding/json"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/peer"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/store"
	"violetturn/internal/zonehealth"
)

// variants returns further values, mostly with fields left out, one for each line of variants.txt.
func variants() []goldenValue {
	return []goldenValue{
		{"api.Job of any machine", &api.Job{
			UID: "run-1", Class: "l", Team: "o", Kind: api.Service, Priority: "standard", Tasks: 1, Image: "i",
		}},
		{"api.Heartbeat without tasks", &api.Heartbeat{Host: "i-1", Tasks: []api.TaskState{}}},
		{"api.TaskState running", &api.TaskState{Task: "run-1/0", Attempt: 1, Phase: api.TaskRunning}},
		{"api.CommandBatch without commands", &api.CommandBatch{Token: 4, Commands: []api.Command{}}},
		{"api.Command at once", &api.Command{Action: api.Stop, Task: "run-1/0", Attempt: 2, GraceS: pointer(0.0)}},
		{"api.Command clear", &api.Command{Action: api.Clear, Task: "run-1/0", Attempt: 2}},
		{"store.Precondition absent", &store.Precondition{Key: "a"}},
		{"store.Op write", &store.Write{WriteKey: "a", Value: json.RawMessage(`{"x":1}`)}},
		{"store.Op delete", &store.Write{DeleteKey: "a"}},
		{"store.Change delete", &store.Change{DeletedKey: "a", Value: json.RawMessage(`null`), Version: 3}},
		{"job.FinalState cancelled", &job.FinalState{Phase: api.JobCancelled}},
		{"job.Placement new", &job.Placement{Attempt: 1, Host: "i-1"}},
		{"job.TaskRange done", &job.TaskRange{LastAttempt: 9, DoneBits: "/wE"}},
		{"job.TaskRange empty", &job.TaskRange{}},
		{"job.Gang idle", &job.Gang{Attempt: 3, FailureStreak: 1}},
		{"job.Gang empty", &job.Gang{}},
		{"job.Record new", &job.Record{Spec: api.Job{UID: "run-1", Kind: api.Array, Tasks: 9}, Shard: "n0", AcceptedMS: 7, RangeSize: 4}},
		{"shard.LeaderRecord", &shard.LeaderRecord{Node: "n0", Incarnation: 5, Term: 6}},
		{"shard.NodeRecord new", &shard.NodeRecord{Node: "n0", Incarnation: 5, SchemaVersion: 2}},
		{"shard.CapabilityRecord empty", &shard.CapabilityRecord{}},
		{"shard.CapacityRecord empty", &shard.CapacityRecord{Term: 6, Leader: "n0", Free: shard.FreeCapacity{}}},
		{"shard.FreeCapacity", &shard.FreeCapacity{"i-2": {CPUs: 0.1, MemGB: 0.25}, "i-1": {CPUs: 1e6, GPUs: 8, MemGB: 1e-6}}},
		{"shard.FreeCapacity empty", &shard.FreeCapacity{}},
		{"shard.Machine on demand", &shard.Machine{Shard: "n0", MachineType: "m", Zone: "x"}},
		{"shard.Page empty", &shard.MachinePage{}},
		{"shard.QuotaRecord empty", &shard.QuotaRecord{Held: map[string]sched.Resources{}}},
		{"zonehealth.Record healthy", &zonehealth.Record{State: zonehealth.Healthy, Transitions: 2, SinceMS: 3}},
		{"zonehealth.Record empty", &zonehealth.Record{}},
		{"zonehealth.Observation", &zonehealth.Observation{Healthy: 1}},
		{"zonehealth.Demand", &zonehealth.Demand{Need: sched.Resources{CPUs: 0.5, GPUs: 0, MemGB: 1.25}, Tasks: 1}},
		{"peer.Request health", &peer.Request{Kind: peer.Request_KIND_HEALTH}},
		{"peer.Request submit", &peer.Request{Kind: peer.Request_KIND_SUBMIT, From: "n0", Body: []byte("b")}},
		{"peer.Request query", &peer.Request{Kind: peer.Request_KIND_QUERY, Uid: "run-1"}},
		{"peer.Request cancel", &peer.Request{Kind: peer.Request_KIND_CANCEL, Uid: "run-1"}},
		{"peer.Reply without acknowledgement", &peer.Reply{StoreReached: true, Status: 404}},
		{"peer.Vouch", &peer.Acknowledgement{Complete: true}},
		{"peer.Tenancy", &peer.ShardLeader{Shard: "n0", Leader: "n1", Term: 6}},
	}
}

// enumWords holds the values of enumerations in records and messages, one for each line of words.txt.
var enumWords = map[string]any{
	"job kind array":             api.Array,
	"job kind service":           api.Service,
	"job kind gang":              api.Gang,
	"job phase pending":          api.JobPending,
	"job phase running":          api.JobRunning,
	"job phase done":             api.JobDone,
	"job phase cancelled":        api.JobCancelled,
	"task phase fetching":        api.TaskFetching,
	"task phase gathering":       api.TaskGathering,
	"task phase saving":          api.TaskSaving,
	"task phase ended":           api.TaskEnded,
	"cause done":                 api.CauseDone,
	"cause stopped":              api.CauseStopped,
	"cause error":                api.CauseError,
	"cause no room":              api.CauseInsufficientResources,
	"cause busy":                 api.CauseBusy,
	"cause unknown":              api.CauseUnknownTask,
	"cause peer lost":            api.CausePeerLost,
	"cause gang incomplete":      api.CauseGangIncomplete,
	"command launch":             api.Launch,
	"command stop":               api.Stop,
	"command clear":              api.Clear,
	"zone state healthy":         zonehealth.Healthy,
	"zone state suspect":         zonehealth.Suspect,
	"zone state down":            zonehealth.Down,
	"zone state recovering":      zonehealth.Recovering,
	"priority production":        api.Production,
	"priority urgent":            api.Urgent,
	"priority standard":          api.Standard,
	"priority idle":              api.Idle,
	"machine phase starting":     cloud.MachineStarting,
	"machine phase running":      cloud.MachineRunning,
	"machine phase failed":       cloud.MachineFailed,
	"objective wait":             config.ObjectiveWait,
	"objective finished":         config.ObjectiveFinished,
	"peer request health":        peer.Request_KIND_HEALTH,
	"peer request submit":        peer.Request_KIND_SUBMIT,
	"peer request query":         peer.Request_KIND_QUERY,
	"peer request cancel":        peer.Request_KIND_CANCEL,
	"peer request acknowledging": peer.Request_KIND_ACKNOWLEDGE,
}
