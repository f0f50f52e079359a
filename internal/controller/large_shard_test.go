package controller

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// largeShard builds a controller that leads a shard of many machines. Its clock does not advance.
type largeShard struct {
	*Controller
	lastVersion uint64 // version of the last applied record
	clock       time.Time
}

// Sizes of the jobs of a large shard.
const (
	machinesPerJob = 8
	tasksPerJob    = 16
)

// newSizedController returns a controller that leads a shard with the given numbers of machines and
// of waiting arrays. All machines are full, except for one in 128, which is empty.
func newSizedController(machines, waiting int) *Controller {
	s := newLargeShard()
	s.addMachines(machines)
	for i := 0; i < machines; i += machinesPerJob {
		s.addRunningJob(i)
	}
	for i := range waiting {
		record := s.newJobRecord(500_000+i, []api.Priority{api.Production, api.Standard}[i%2])
		s.apply(statecache.JobKey(record.Spec.UID), record)
	}
	s.recordHeartbeats()
	return s.Controller
}

// newLargeShard returns a controller that leads a shard without machines.
func newLargeShard() *largeShard {
	zones := []string{"x", "y"}
	cfg := testSettings(0, []string{"n0", "n1", "n2"}, zones, map[string]float64{"a": 5})
	c := newController(cfg, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	now := time.Unix(1_800_000_000, 0)
	c.node.Now = func() time.Time { return now }
	c.testState().Cache.Loaded, c.testState().Cache.ChangesReadAt = true, now
	c.testState().Leadership.BeginLease(1)
	c.testState().Leadership.ExtendLease(now.Add(time.Hour))
	c.testState().Catalog.SetMachineTypes([]cloud.MachineType{{
		Name:        "m",
		CPUs:        16,
		GPUs:        2,
		MemGB:       128,
		FetchGBPerS: 1,
		Price:       3,
		SpotPrice:   1,
		BootS:       60,
		Zones:       zones,
	}})
	s := &largeShard{Controller: c, lastVersion: 1, clock: now}
	s.apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: c.node.Incarnation, Term: 1})
	c.testState().Leadership.Begin("n0", &leadership.Leadership{Term: 1, Version: s.lastVersion})
	s.apply(statecache.CapacityKey("n0"), shard.CapacityRecord{Term: 1, Leader: "n0", Free: shard.FreeCapacity{}})
	return s
}

// apply applies a record to the cache of the controller.
func (s *largeShard) apply(key string, record any) {
	s.lastVersion++
	s.testState().Cache.Apply(key, api.MustMarshal(record), s.lastVersion)
}

// addMachines adds machines, one page after the other.
func (s *largeShard) addMachines(machines int) {
	page := shard.MachinePage{}
	for i := range machines {
		host := machineName(i)
		page[host] = &shard.Machine{Shard: "n0", MachineType: "m", Zone: "x"}
		id := statecache.PageID(host, statecache.CoarsestPageSuffixLen)
		if i == machines-1 || id != statecache.PageID(machineName(i+1), statecache.CoarsestPageSuffixLen) {
			s.apply(statecache.MachinePageKey(id), page)
			page = shard.MachinePage{}
		}
	}
}

// machineName returns the name of the i-th machine.
func machineName(i int) string { return fmt.Sprintf("i-%06d", i) }

// newJobRecord returns the record of an array.
func (s *largeShard) newJobRecord(id int, priority api.Priority) *job.Record {
	record := &job.Record{
		Spec: api.Job{
			UID:           fmt.Sprintf("run-%06d", id),
			Class:         "l",
			Team:          "b",
			Kind:          api.Array,
			Priority:      priority,
			Tasks:         tasksPerJob,
			CPUs:          5 + float64(id%10)/10,
			GPUs:          1,
			MemGB:         40,
			Image:         fmt.Sprintf("img-%d", id%18),
			ImageGB:       7,
			EstimatedRunS: 70,
		},
		Shard:      "n0",
		AcceptedMS: s.clock.UnixMilli(),
	}
	record.ChooseLayout(64, 500, false)
	return record
}

// addRunningJob adds an array whose tasks run on machines from the i-th on. One machine in 128
// stays empty.
func (s *largeShard) addRunningJob(i int) {
	record := s.newJobRecord(i, "standard")
	record.InlineRange = (*job.TaskRange)(nil).Copy()
	for task := range tasksPerJob {
		if i/machinesPerJob%16 > 0 || task > 1 {
			record.InlineRange.Place(task, machineName(i+task/2), 0)
		}
	}
	s.apply(statecache.JobKey(record.Spec.UID), record)
}

// recordHeartbeats records a current heartbeat of every machine.
func (s *largeShard) recordHeartbeats() {
	for host := range s.testState().Cache.Machines {
		agentState := s.testState().Agents.Ensure(host, s.testState().Leadership.Lookup("n0"))
		agentState.State, agentState.LastSeen, agentState.LastAnswered,
			agentState.Heartbeat = agent.Responsive, s.clock, s.clock, &api.Heartbeat{Host: host}
	}
}
