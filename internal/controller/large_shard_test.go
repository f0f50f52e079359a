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

// largeShard builds a controller that leads a shard of many machines. Its clock stands
// still.
type largeShard struct {
	*Controller
	version uint64 // of the last record
	clock   time.Time
}

// Sizes of the jobs of a large shard.
const (
	machinesPerJob = 8
	tasksPerJob    = 16
)

// newSizedController returns a controller that replicates and leads a shard of so many
// machines, all but some full, and so many waiting arrays.
func newSizedController(machines, waiting int) *Controller {
	s := newLargeShard()
	s.addMachines(machines)
	for i := 0; i < machines; i += machinesPerJob {
		s.addRunningJob(i)
	}
	for i := range waiting {
		m := s.newJobRecord(500_000+i, []api.Priority{api.Production, api.Standard}[i%2])
		s.apply(statecache.JobKey(m.Spec.UID), m)
	}
	s.hearMachines()
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
	s := &largeShard{Controller: c, version: 1, clock: now}
	s.apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: c.node.Incarnation, Term: 1})
	c.testState().Leadership.Begin("n0", &leadership.Leadership{Term: 1, Version: s.version})
	s.apply(statecache.CapacityKey("n0"), shard.CapacityRecord{Term: 1, Leader: "n0", Free: shard.FreeCapacity{}})
	return s
}

// apply has the controller take in a record.
func (s *largeShard) apply(key string, record any) {
	s.version++
	s.testState().Cache.Apply(key, api.MustMarshal(record), s.version)
}

// addMachines adds machines, page by page.
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
	m := &job.Record{
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
	m.ChooseLayout(64, 500, false)
	return m
}

// addRunningJob adds an array whose tasks run on the machines from the i-th on. One machine
// in 128 stays empty.
func (s *largeShard) addRunningJob(i int) {
	m := s.newJobRecord(i, "standard")
	m.InlineRange = (*job.TaskRange)(nil).Copy()
	for k := range tasksPerJob {
		if i/machinesPerJob%16 > 0 || k > 1 {
			m.InlineRange.Place(k, machineName(i+k/2), 0)
		}
	}
	s.apply(statecache.JobKey(m.Spec.UID), m)
}

// hearMachines has every machine have sent a heartbeat just now.
func (s *largeShard) hearMachines() {
	for h := range s.testState().Cache.Machines {
		a := s.testState().Agents.Ensure(h, s.testState().Leadership.Lookup("n0"))
		a.State, a.LastSeen, a.LastAnswered, a.Heartbeat = agent.Responsive, s.clock, s.clock, &api.Heartbeat{Host: h}
	}
}
