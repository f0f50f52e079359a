package controller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/peer"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
	"violetturn/internal/statecache"
)

// lookEverywhere asks all nodes about a job, and repeats its submission, within one moment.
func (s *sim) lookEverywhere(uid string) {
	for i := range s.nodes {
		s.poll(i, uid)
		s.submit(i, uid)
	}
	for i := range s.nodes {
		s.poll(i, uid)
	}
}

// odd submits what a service must not take: a known job with changed content, which is
// answered with its state, one that can't run and one that lacks a field.
func (s *sim) odd(t interface{ Fatalf(string, ...any) }, i int) {
	n := s.nodes[i]
	if !n.works() {
		return
	}
	send := func(uid string, change func(m map[string]any)) int {
		var m map[string]any
		_ = json.Unmarshal(
			simulator.Submission(&api.Job{
				UID:      uid,
				Class:    "l",
				Team:     "b",
				Kind:     api.Array,
				Priority: "idle",
				Tasks:    1,
				CPUs:     1,
				GPUs:     1,
				MemGB:    1,
				Image:    "i",
			}),
			&m,
		) // made above
		change(m)
		r := n.c.frontend.ServeOrForward(context.Background(), &peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: api.JSON(m)})
		if s.w.Jobs[uid] != nil {
			s.told(uid, r.Status, r.Body, true)
		}
		return r.Status
	}
	for _, x := range []struct {
		status int
		change func(m map[string]any)
	}{
		{400, func(m map[string]any) { delete(m, "rank") }},
		{400, func(m map[string]any) { m["pieces"] = 0 }},
		{422, func(m map[string]any) { m["gpus"] = 99 }},
		{422, func(m map[string]any) { m["owner"] = "nobody" }},
	} {
		if got := send("run-990000", x.change); got != x.status && got != 503 {
			t.Fatalf("answered %d, not %d", got, x.status)
		}
		if len(s.uids) > 0 { // one that some user was told of
			send(s.uids[len(s.uids)-1], x.change)
		}
	}
}

// waits checks once all troubles are over: nothing is left waiting for 90 s while a
// machine that fits has room and its team is under its limit.
func (s *sim) waits(since map[string]time.Time) {
	used := map[string]float64{}
	for _, x := range s.w.Cloud.Hosts {
		for _, uid := range x.PresentJobs() {
			used[s.w.Jobs[uid].Spec.Team] += s.w.Jobs[uid].Spec.GPUs
		}
	}
	for _, uid := range s.uids {
		j := s.w.Jobs[uid]
		r := &j.Spec
		here := 0
		room := false
		for _, x := range s.w.Cloud.Hosts {
			for _, u := range x.PresentJobs() {
				if u == uid {
					here++
				}
			}
			if x.Up() && x.SpotNoticeS == nil && (r.Zone == "" || r.Zone == x.Zone) && (r.Spot || !x.Spot) {
				cpus, gpus := x.Room()
				room = room || cpus >= r.CPUs && gpus >= r.GPUs
			}
		}
		lim := s.w.TeamGPULimits[r.Team]
		simple := !r.Together && !r.Spread && r.Kind != api.Gang // what depends on the job's other tasks is left out
		if !simple || !j.Accepted || j.FinalPhase != "" || here+len(j.Done) >= r.Tasks || !room || lim > 0 && used[r.Team]+r.GPUs > lim {
			delete(since, uid)
			continue
		}
		if at, ok := since[uid]; !ok {
			since[uid] = s.w.Now
		} else if s.w.Now.Sub(at) > 90*time.Second {
			s.w.Violate("waiting", "%s for 90 s with room", uid)
		}
	}
}

// checkPartRecords compares the shards' capacity records that a controller holds, which it does not
// read back when it wrote them itself, with what the state service has of that version.
func (s *sim) checkPartRecords(t *rapid.T, n *simNode) {
	store := simulator.Client{S: s.w.Store}
	for id, held := range n.c.testState().Cache.Capacities {
		it, found, err := store.Get(context.Background(), statecache.CapacityKey(id), 0)
		if err != nil || !found || it.Version != held.Version {
			continue // it has moved on, or can't be read now
		}
		var recorded shard.CapacityRecord
		if err := json.Unmarshal(it.Value, &recorded); err != nil {
			t.Fatal(err)
		}
		same := held.Record.Term == recorded.Term && held.Record.Leader == recorded.Leader
		same = same && held.Record.Released == recorded.Released && held.Record.PredecessorInDoubt == recorded.PredecessorInDoubt
		if !same || !maps.Equal(held.Record.Free, recorded.Free) || !maps.Equal(held.Record.QuotaUse, recorded.QuotaUse) {
			t.Fatalf("%s holds %+v of part %s, recorded is %s", n.name, held.Record, id, it.Value)
		}
	}
}

// checkKept compares what plans keep of machines and jobs with what it would be
// if worked out anew: one change that forgot to drop it, and every later plan of
// that machine is wrong.
func (s *sim) checkKept(t *rapid.T) {
	for _, n := range s.nodes {
		c := n.c
		s.checkPartRecords(t, n)
		for _, h := range c.testState().Cache.KeptLoads() {
			kept := c.testState().Cache.Load(h)
			c.testState().Cache.InvalidateLoad(h)
			if now := c.testState().Room.LoadOf(h); !now.Used.ApproxEqual(kept.Used) || !now.Stopping.ApproxEqual(kept.Stopping) ||
				now.Services != kept.Services ||
				now.Arrays != kept.Arrays ||
				!slices.EqualFunc(now.RunningByPriority[:], kept.RunningByPriority[:], sched.Resources.ApproxEqual) {
				t.Fatalf("%s keeps %+v of %s, there is %+v", n.name, kept, h, now)
			}
		}
		for uid, j := range c.testState().Cache.Jobs {
			if kept, found := j.PendingTasks(), j.FindPending(); !slices.Equal(kept, found) {
				t.Fatalf("%s keeps %v of %s, waiting are %v", n.name, kept, uid, found)
			}
		}
		names := slices.Sorted(maps.Keys(c.testState().Cache.Machines))
		if kept := c.testState().Cache.MachineNames(); !slices.Equal(kept, names) {
			t.Fatalf("%s keeps the names %v, there are %v", n.name, kept, names)
		}
	}
}
