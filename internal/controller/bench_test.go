package controller

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/autoscaler"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/httpwire"
	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// sized returns a controller that replicates and owns a shard of so many machines, all
// but some full, and so many waiting arrays.
func sized(machines, waiting int) *Controller {
	zones := []string{"x", "y"}
	cfg := settings(0, []string{"n0", "n1", "n2"}, zones, map[string]float64{"a": 5})
	c := newController(cfg, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	now := time.Unix(1_800_000_000, 0)
	c.node.Now = func() time.Time { return now }
	c.testState().Cache.Loaded, c.testState().Cache.ChangesReadAt = true, now
	c.testState().Leadership.BeginLease(1)
	c.testState().Leadership.ExtendLease(now.Add(time.Hour))
	c.testState().Catalog.MachineTypes = []cloud.MachineType{{
		Name:        "m",
		CPUs:        16,
		GPUs:        2,
		MemGB:       128,
		FetchGBPerS: 1,
		Price:       3,
		SpotPrice:   1,
		BootS:       60,
		Zones:       zones,
	}}
	version := uint64(1)
	apply := func(key string, v any) {
		version++
		c.testState().Cache.Apply(key, api.JSON(v), version)
	}
	apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: c.node.Incarnation, Term: 1})
	c.testState().Leadership.Begin("n0", &leadership.Leadership{Term: 1, Version: version})
	apply(statecache.CapacityKey("n0"), shard.CapacityRecord{Term: 1, Leader: "n0", Free: shard.FreeCapacity{}})
	page := shard.Page{}
	for i := range machines {
		host := fmt.Sprintf("i-%06d", i)
		page[host] = &shard.Machine{Shard: "n0", MachineType: "m", Zone: "x"}
		if id := statecache.PageID(host, statecache.CoarsestPageCut); i == machines-1 || id != statecache.PageID(fmt.Sprintf("i-%06d", i+1), statecache.CoarsestPageCut) {
			apply(statecache.MachinePageKey(id), page)
			page = shard.Page{}
		}
	}
	run := func(id int, priority string) *job.Record {
		m := &job.Record{
			Spec: api.Job{UID: fmt.Sprintf("run-%06d", id), Class: "l", Team: "b", Kind: api.Array, Priority: priority, Tasks: 16,
				CPUs: 5 + float64(
					id%10,
				)/10, GPUs: 1, MemGB: 40, Image: fmt.Sprintf("img-%d", id%18), ImageGB: 7, EstimateS: 70},
			Shard:      "n0",
			AcceptedMS: now.UnixMilli(),
		}
		m.ChooseLayout(64, 500, false)
		return m
	}
	for i := 0; i < machines; i += 8 { // sixteen tasks on eight machines
		m := run(i, "standard")
		m.InlineRange = (*job.TaskRange)(nil).Copy()
		for k := range 16 {
			if i/8%16 > 0 || k > 1 { // one machine in 128 is empty
				m.InlineRange.Place(k, fmt.Sprintf("i-%06d", i+k/2), 0)
			}
		}
		apply(statecache.JobKey(m.Spec.UID), m)
	}
	for i := range waiting {
		m := run(500_000+i, []string{"production", "standard"}[i%2])
		apply(statecache.JobKey(m.Spec.UID), m)
	}
	for h := range c.testState().Cache.Machines {
		s := c.testState().Agents.Of(h, c.testState().Leadership.Known("n0"))
		s.Fenced, s.LastSeen, s.LastAnswered, s.Heartbeat = true, now, now, &api.Heartbeat{Host: h}
	}
	return c
}

// BenchmarkPlan is one decision's plan on a shard as the grown deployments have
// them; locks are held for as long.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 900, 2700} {
		c := sized(n, n/10)
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			for range b.N {
				c.testState().Scheduler.Plan(c.node.Now())
			}
		})
	}
}

// BenchmarkCheckin is the answer to one report in such a shard.
func BenchmarkCheckin(b *testing.B) {
	c := sized(800, 80)
	s := c.testState().Agents.ByHost["i-000009"]
	for range b.N {
		s.Heartbeat.Sequence++
		c.testState().Reconciler.CommandsFor(s.Heartbeat, s, c.node.Now())
	}
}

// BenchmarkReport is one report from its body to the answer's: its JSON, the judgement,
// the orders.
func BenchmarkReport(b *testing.B) {
	c := sized(800, 80)
	x := &api.Heartbeat{Host: "i-000009", MachineType: "m", Zone: "x", AgentEpoch: 1, Token: c.testState().Agents.ByHost["i-000009"].Token()}
	for _, pl := range c.testState().Cache.Placements[x.Host] {
		x.Tasks = append(
			x.Tasks,
			api.TaskState{Task: pl.TaskName(c.testState().Cache.Jobs[pl.UID]), Attempt: pl.Placement.Attempt, Phase: api.Running},
		)
	}
	b.ReportAllocs()
	for range b.N {
		x.Sequence++
		if r := c.frontend.HandleHeartbeat(&httpwire.Message{Method: "POST", Target: "/checkin", Body: api.JSON(x)}); r.Status != 200 {
			b.Fatal(r.Status)
		}
	}
}

// BenchmarkLoad is what a start, or a return after changes were missed, takes in: all
// records of a fleet.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{50, 900, 2700} {
		c := sized(n, n/10)
		var items []store.Item
		for key, version := range c.testState().Cache.Versions {
			var v any
			switch {
			case strings.HasPrefix(key, statecache.JobKey("")):
				v = c.testState().Cache.Jobs[key[len(statecache.JobKey("")):]].Record
			case strings.HasPrefix(key, statecache.MachinePageKey("")):
				v = c.testState().Cache.Pages[key[len(statecache.MachinePageKey("")):]].Record
			case strings.HasPrefix(key, statecache.CapacityKey("")):
				v = c.testState().Cache.Capacities[key[len(statecache.CapacityKey("")):]].Record
			default:
				continue
			}
			items = append(items, store.Item{Key: key, Value: api.JSON(v), Version: version})
		}
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				statecache.New(c.node.Log).Reload(items, c.testState().Cache.Revision+1, c.node.Now())
			}
		})
	}
}

// BenchmarkJudge is a round of judging which machines go back, where every second one has
// one replica that may fit elsewhere.
func BenchmarkJudge(b *testing.B) {
	for _, n := range []int{50, 900, 2700} {
		c := sized(n, 0)
		for _, j := range c.testState().Cache.Jobs {
			j.Record.Spec.Kind = api.Service
			for _, p := range j.Ranges[0].Record.Placements {
				p.PlacedS = -3600
			}
			for i := range j.Ranges[0].Record.Placements {
				if i%4 > 0 {
					c.testState().Cache.RemovePlacement(j.Record.Spec.UID, 0, i, j.Ranges[0].Record.Placements[i])
				}
			}
		}
		c.testState().Cache.InvalidateLoads()
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			for range b.N {
				v := &autoscaler.ScaleInView{Autoscaler: c.testState().Autoscaler, Now: c.node.Now()}
				for host, m := range c.testState().Cache.Machines {
					s := c.testState().Agents.ByHost[host]
					s.UnderusedSince = time.Time{}
					c.testState().Autoscaler.ConsiderScaleIn(host, m, s, v)
				}
			}
		})
	}
}
