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

// BenchmarkPlan measures how long one decision step plans, on shards of the sizes of large
// deployments. A controller holds the lock of its state for that time.
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

// BenchmarkHeartbeat measures the computation of the commands for one heartbeat on a large shard.
func BenchmarkHeartbeat(b *testing.B) {
	c := newSizedController(800, 80)
	agentState := c.testState().Agents.Agent("i-000009")
	for range b.N {
		agentState.Heartbeat.Sequence++
		c.testState().Reconciler.CommandsFor(agentState.Heartbeat, agentState, c.node.Now())
	}
}

// BenchmarkHeartbeatRequest measures one heartbeat from request body to response body: the JSON
// encoding, the evaluation and the commands.
func BenchmarkHeartbeatRequest(b *testing.B) {
	c := newSizedController(800, 80)
	token := c.testState().Agents.Agent("i-000009").Token()
	heartbeat := &api.Heartbeat{Host: "i-000009", MachineType: "m", Zone: "x", AgentEpoch: 1, Token: token}
	for _, placement := range c.testState().Cache.Placements[heartbeat.Host] {
		heartbeat.Tasks = append(
			heartbeat.Tasks,
			api.TaskState{
				Task:    placement.TaskName(c.testState().Cache.Jobs[placement.UID]),
				Attempt: placement.Placement.Attempt,
				Phase:   api.TaskRunning,
			},
		)
	}
	b.ReportAllocs()
	for range b.N {
		heartbeat.Sequence++
		if r := c.frontend.HandleHeartbeat(
			&httpwire.Message{Method: "POST", Target: "/checkin", Body: api.MustMarshal(heartbeat)},
		); r.Status != 200 {
			b.Fatalf("heartbeat answered with status %d, want 200", r.Status)
		}
	}
}

// BenchmarkLoad measures loading all records of a deployment, as after a start or after missed
// changes.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{50, 900, 2700} {
		c := newSizedController(n, n/10)
		var items []store.Item
		for key, version := range c.testState().Cache.Versions {
			var record any
			switch {
			case strings.HasPrefix(key, statecache.JobKey("")):
				record = c.testState().Cache.Jobs[key[len(statecache.JobKey("")):]].Record
			case strings.HasPrefix(key, statecache.MachinePageKey("")):
				record = c.testState().Cache.Pages[key[len(statecache.MachinePageKey("")):]].Record
			case strings.HasPrefix(key, statecache.CapacityKey("")):
				record = c.testState().Cache.Capacities[key[len(statecache.CapacityKey("")):]].Record
			default:
				continue
			}
			items = append(items, store.Item{Key: key, Value: api.MustMarshal(record), Version: version})
		}
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				statecache.New(c.node.Log).Reload(items, c.testState().Cache.Revision+1, c.node.Now())
			}
		})
	}
}

// BenchmarkScaleIn measures one run of the autoscaler that decides which machines to return. Every
// second machine has one replica, which may fit elsewhere.
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
				for host, machine := range c.testState().Cache.Machines {
					agentState := c.testState().Agents.Agent(host)
					agentState.UnderusedSince = time.Time{}
					review.Evaluate(host, machine, agentState)
				}
			}
		})
	}
}
