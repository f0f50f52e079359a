package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// BenchmarkPlan is one decision's plan on a shard as the grown deployments have
// them; locks are held for as long.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 900, 2700} {
		c := newSizedController(n, n/10)
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			for range b.N {
				c.testState().Scheduler.Plan(c.node.Now())
			}
		})
	}
}

// BenchmarkCheckin is the response to one heartbeat in such a shard.
func BenchmarkHeartbeat(b *testing.B) {
	c := newSizedController(800, 80)
	s := c.testState().Agents.Agent("i-000009")
	for range b.N {
		s.Heartbeat.Sequence++
		c.testState().Reconciler.CommandsFor(s.Heartbeat, s, c.node.Now())
	}
}

// BenchmarkReport is one heartbeat from its body to the response's: its JSON, the judgement,
// the commands.
func BenchmarkHeartbeatRequest(b *testing.B) {
	c := newSizedController(800, 80)
	token := c.testState().Agents.Agent("i-000009").Token()
	x := &api.Heartbeat{Host: "i-000009", MachineType: "m", Zone: "x", AgentEpoch: 1, Token: token}
	for _, pl := range c.testState().Cache.Placements[x.Host] {
		x.Tasks = append(
			x.Tasks,
			api.TaskState{Task: pl.TaskName(c.testState().Cache.Jobs[pl.UID]), Attempt: pl.Placement.Attempt, Phase: api.TaskRunning},
		)
	}
	b.ReportAllocs()
	for range b.N {
		x.Sequence++
		if r := c.frontend.HandleHeartbeat(&httpwire.Message{Method: "POST", Target: "/checkin", Body: api.MustMarshal(x)}); r.Status != 200 {
			b.Fatal(r.Status)
		}
	}
}

// BenchmarkLoad is what a start, or a return after changes were missed, takes in: all
// records of a fleet.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{50, 900, 2700} {
		c := newSizedController(n, n/10)
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
			items = append(items, store.Item{Key: key, Value: api.MustMarshal(v), Version: version})
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
func BenchmarkScaleIn(b *testing.B) {
	for _, n := range []int{50, 900, 2700} {
		c := newSizedController(n, 0)
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
				review := c.testState().Autoscaler.NewReview(c.node.Now())
				for host, m := range c.testState().Cache.Machines {
					s := c.testState().Agents.Agent(host)
					s.UnderusedSince = time.Time{}
					review.Evaluate(host, m, s)
				}
			}
		})
	}
}
