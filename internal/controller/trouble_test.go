package controller

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

func randomRun(t *rapid.T, uid, shape string) (*api.Job, time.Duration) {
	if shape == "" {
		shape = rapid.SampledFrom([]string{api.Array, api.Service, api.Gang}).Draw(t, "shape")
	}
	r := &api.Job{UID: uid, Class: "l", Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner"), Kind: shape,
		Priority: rapid.SampledFrom([]string{"production", "standard", "idle"}).
			Draw(t, "rank"),
		CPUs: 1, GPUs: 1, MemGB: 4, Image: "img", ImageGB: 1}
	r.Tasks = rapid.IntRange(1, 5).Draw(t, "pieces")
	if r.Kind == api.Array && rapid.IntRange(0, 5).Draw(t, "large") == 0 {
		r.Tasks = rapid.IntRange(20, 60).Draw(t, "pieces") // several chunks
	}
	switch rapid.IntRange(0, 5).Draw(t, "where") {
	case 0:
		r.Together = true
	case 1:
		r.Spread = true
	case 2:
		r.Zone = "x"
	}
	r.Spot = rapid.Bool().Draw(t, "loaners")
	if rapid.Bool().Draw(t, "saves") {
		r.CheckpointS, r.SaveS = 5, 1
	}
	if r.Kind == api.Gang {
		r.GPUs = float64(rapid.IntRange(0, 1).Draw(t, "gpus"))
		if rapid.IntRange(0, 7).Draw(t, "large") == 0 {
			r.GPUs, r.CPUs, r.Tasks = 0, 0.5, rapid.IntRange(20, 60).Draw(t, "pieces") // several chunks
		}
		if r.CheckpointS > 0 {
			r.CheckpointS = 2
		}
	}
	if r.Kind == api.Service {
		r.Tasks = min(r.Tasks, 4)
	}
	return r, time.Duration(rapid.IntRange(1, 20).Draw(t, "run_s")) * time.Second
}

// trouble is the state machine's set of actions.
func (s *sim) trouble(_ *rapid.T) map[string]func(*rapid.T) {
	node := func(t *rapid.T) int { return rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node") }
	host := func(t *rapid.T) *simulator.Worker {
		names := s.w.Cloud.Names()
		if len(names) == 0 {
			t.Skip("no machine")
		}
		return s.w.Cloud.Hosts[rapid.SampledFrom(names).Draw(t, "host")]
	}
	uid := func(t *rapid.T) string {
		if len(s.uids) == 0 {
			t.Skip("no job")
		}
		return rapid.SampledFrom(s.uids).Draw(t, "job")
	}
	submitOf := func(t *rapid.T, shape string) {
		if len(s.uids) >= 16 {
			t.Skip("enough jobs")
		}
		id := fmt.Sprintf("run-%06d", len(s.uids))
		run, d := randomRun(t, id, shape)
		s.w.Jobs[id] = &simulator.Job{Spec: *run, RunTime: d, Done: map[int]bool{}}
		s.uids = append(s.uids, id)
		s.submit(node(t), id)
	}
	submitNew := func(t *rapid.T) { submitOf(t, "") }
	submitGang := func(t *rapid.T) { submitOf(t, api.Gang) }
	rounds := func(t *rapid.T) {
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			s.round()
		}
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if len(s.w.Violations) > 0 {
				t.Fatalf("%v", s.w.Violations)
			}
			s.checkKept(t)
		},
		"submit":  submitNew,
		"submit2": submitNew,
		"gang":    submitGang,
		"gang2":   submitGang,
		"round4":  rounds,
		"round5":  rounds,
		"round6": func(t *rapid.T) { // long enough for machines to boot and tasks to end
			for range rapid.IntRange(8, 40).Draw(t, "rounds") {
				s.round()
			}
		},
		"round":  rounds,
		"round2": rounds,
		"round3": rounds,
		"again":  func(t *rapid.T) { s.submit(node(t), uid(t)) },
		"poll":   func(t *rapid.T) { s.poll(node(t), uid(t)) },
		"cancel": func(t *rapid.T) { s.cancel(node(t), uid(t)) },
		"step":   func(t *rapid.T) { s.step(node(t)) },
		"report": func(t *rapid.T) {
			s.report(host(t), reportFault(rapid.IntRange(0, 3).Draw(t, "fault")))
		},
		"wait": func(t *rapid.T) {
			s.w.Advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"long": func(t *rapid.T) { // nobody does anything, or only one does
			i := node(t)
			for range rapid.IntRange(10, 40).Draw(t, "rounds") {
				s.step(i)
				s.w.Advance(500 * time.Millisecond)
			}
		},
		"crash": func(t *rapid.T) { s.nodes[node(t)].up = false },
		"start": func(t *rapid.T) {
			if i := node(t); !s.nodes[i].up {
				s.start(i)
			}
		},
		"upgrade": func(t *rapid.T) { // it is killed and comes back new, at once or later
			n := s.nodes[node(t)]
			if !n.old {
				t.Skip("new already")
			}
			n.old = false
			if n.up = false; rapid.Bool().Draw(t, "at once") {
				s.start(slices.Index(s.nodes, n))
			}
		},
		"fall": func(t *rapid.T) { // the limits come down when all are new
			if s.fell || slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.old || !n.up }) || !s.nodes[0].c.testState().Schema.Upgraded() {
				t.Skip("not yet")
			}
			s.fell = true
			s.fall()
		},
		"restart": func(t *rapid.T) { s.start(node(t)) },
		"outage":  func(_ *rapid.T) { s.w.Store.Down = !s.w.Store.Down },
		"refuse": func(t *rapid.T) {
			n := s.nodes[node(t)].name
			s.w.Store.Refuse[n] = !s.w.Store.Refuse[n]
		},
		"lose": func(t *rapid.T) {
			s.w.Store.Next[s.nodes[node(t)].name] = simulator.Fault(rapid.IntRange(1, 3).Draw(t, "fault"))
		},
		"late": func(_ *rapid.T) { s.w.Store.DeliverLate() },
		"loseCloud": func(t *rapid.T) {
			s.w.Cloud.Next[s.nodes[node(t)].name] = simulator.Fault(rapid.IntRange(1, 2).Draw(t, "fault"))
		},
		"cloud": func(_ *rapid.T) { s.w.Cloud.Down = !s.w.Cloud.Down },
		"full":  func(_ *rapid.T) { s.w.Cloud.Full = !s.w.Cloud.Full },
		"kill":  func(t *rapid.T) { s.w.Cloud.Kill(host(t).Host) },
		"recall": func(t *rapid.T) {
			x, left := host(t), 4.0
			if x.Spot {
				x.SpotNoticeS = &left
			}
		},
		"cut":  func(t *rapid.T) { x := host(t); x.Partitioned = !x.Partitioned },
		"deaf": func(t *rapid.T) { x := host(t); x.InboundLost = !x.InboundLost },
		"mute": func(t *rapid.T) { x := host(t); x.OutboundLost = !x.OutboundLost },
		"boot": func(t *rapid.T) { // machines are up within a second, or later
			s.w.MachineType.Boot = time.Duration(rapid.IntRange(0, 12).Draw(t, "boot")) * time.Second
		},
		"alone": func(t *rapid.T) { // a controller loses the state service and its peers, not its workers and users
			i := node(t)
			s.alone[i] = !s.alone[i]
			s.w.Store.Unreachable[s.nodes[i].name] = s.alone[i]
		},
		"gap": func(t *rapid.T) { // the state service refuses one alone, another confirms, then all are refused
			i, id := node(t), uid(t)
			s.w.Store.Refuse[s.nodes[i].name] = true
			s.step(i)
			s.cancel((i+1)%len(s.nodes), id)
			s.w.Store.Down = true
			for range rapid.IntRange(1, 100).Draw(t, "rounds") {
				s.round()
			}
		},
		"end": func(t *rapid.T) { // called off at the very end of a task, asked about everywhere
			id := uid(t)
			s.w.OnTaskDone = func(ended string) {
				if ended == id {
					s.w.OnTaskDone = nil
					s.cancel(rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node"), id)
					s.lookEverywhere(id)
				}
			}
			rounds(t)
			s.w.OnTaskDone = nil
		},
		"looks": func(t *rapid.T) { s.lookEverywhere(uid(t)) },
		"odd":   func(t *rapid.T) { s.odd(t, node(t)) },
		"away": func(t *rapid.T) { // all are away for longer than a lease, and one returns first
			for _, n := range s.nodes {
				n.up = false
			}
			s.w.Advance(s.w.Lease + time.Duration(rapid.IntRange(-20, 20).Draw(t, "tenths"))*100*time.Millisecond)
			i := node(t)
			s.start(i)
			for range rapid.IntRange(0, 8).Draw(t, "rounds") {
				s.round()
			}
		},
		"cutStore": func(t *rapid.T) { // a controller keeps its workers, but loses the state service
			n := s.nodes[node(t)].name
			s.w.Store.Unreachable[n] = !s.w.Store.Unreachable[n]
		},
		"cutWorkers": func(t *rapid.T) { // a controller loses its workers only
			d := s.nodes[node(t)].direct
			d.Cut = !d.Cut
		},
		"hang": func(t *rapid.T) { x := host(t); x.Hung = !x.Hung },
		"hangMany": func(t *rapid.T) { // or go on, inside and past their leases
			hung := rapid.Bool().Draw(t, "hung")
			for k, h := range s.w.Cloud.Names() {
				s.w.Cloud.Hosts[h].Hung = hung && k%3 > 0
			}
		},
		"killMany": func(_ *rapid.T) {
			for k, h := range s.w.Cloud.Names() {
				if k%2 == 0 {
					s.w.Cloud.Kill(h)
				}
			}
		},
		"zone": func(t *rapid.T) { // all else goes on for a while, or it comes back
			s.cutZone(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "zone"))
		},
		"apart":  func(_ *rapid.T) { s.apart = !s.apart },
		"unlink": func(_ *rapid.T) { s.refuse = !s.refuse },
		"stall": func(t *rapid.T) { // stands still before a transaction, and then acts on what it believed
			n, rounds := s.nodes[node(t)], rapid.IntRange(1, 30).Draw(t, "rounds")
			client, ok := n.c.services.Store.(*simulator.Client)
			if !ok {
				client = n.c.services.Store.(*productionStore).StateService.(*simulator.Client)
			}
			client.BeforeCommit = func() {
				c := n.c
				n.still = true
				for range rounds {
					s.round()
				}
				if n.c == c {
					n.still = false
				}
			}
		},
		"copies": func(t *rapid.T) { // reports of some time ago arrive once more
			if len(s.copies) == 0 {
				t.Skip("none")
			}
			for range rapid.IntRange(1, 8).Draw(t, "copies") {
				x := rapid.SampledFrom(s.copies).Draw(t, "copy")
				if rapid.Bool().Draw(t, "everywhere") {
					for i := range s.nodes {
						s.deliver(i, x.body)
					}
				} else {
					s.deliver(x.to, x.body)
				}
			}
			if rapid.Bool().Draw(t, "newer") {
				s.copies = nil
			}
		},
		"deliver": func(_ *rapid.T) { // what cuts held back arrives
			held := s.held
			s.held = nil
			for _, f := range held {
				f()
			}
			for _, n := range s.nodes {
				held := n.direct.Delayed
				n.direct.Delayed = nil
				for _, f := range held {
					f()
				}
			}
		},
	}
}

// Under lost, late, repeated and reordered messages, crashes, outages, cuts and
// dying machines no rule is broken, and once the troubles end every job that was
// accepted runs.
func TestRulesHoldUnderTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim()
		// The version in production runs when the day begins, or all are new, or the
		// limits have come down too.
		s.limits(8, 8, 1, 4)
		begin := rapid.SampledFrom([]string{"production", "new", "fallen"}).Draw(t, "begin")
		for i, n := range s.nodes {
			n.old = begin == "production"
			s.start(i)
		}
		switch begin {
		case "fallen":
			s.fell = true
			s.fall()
		}
		for range 10 {
			s.round()
		}
		t.Repeat(s.trouble(t))
		s.heal()
		since := map[string]time.Time{}
		for range 100 {
			s.round()
			s.waits(since)
			s.checkKept(t)
		}
		for k := 0; k < 2000 && (k < 200 || !s.settled()); k++ {
			s.round()
			s.waits(since)
			for _, id := range s.uids { // services would hold their team's limit for ever
				if j := s.w.Jobs[id]; j.Spec.Kind == api.Service && j.FinalPhase == "" && k%10 == 0 {
					s.cancel(0, id)
				}
			}
		}
		if len(s.w.Violations) > 0 {
			t.Fatalf("%v", s.w.Violations)
		}
		for _, id := range s.uids {
			for i, n := range s.nodes { // a job that nobody answers for is forgotten
				r := n.c.frontend.Query(context.Background(), id)
				if s.told(id, r.Status, r.Body, false); s.w.Jobs[id].Accepted && r.Status != 200 {
					t.Fatalf("%s: node %d answers %d after all troubles", id, i, r.Status)
				}
			}
			j := s.w.Jobs[id]
			on := 0
			for _, x := range s.w.Cloud.Hosts {
				for _, p := range x.Heartbeat().Tasks {
					if uid, _, _ := api.SplitTaskName(p.Task); uid == id && p.Phase == api.Running {
						on++
					}
				}
			}
			switch {
			case j.FinalPhase == api.Cancelled:
				if on > 0 {
					t.Fatalf("%s is cancelled and has %d tasks", id, on)
				}
			case !j.Accepted:
			case j.Spec.Kind != api.Service && j.FinalPhase != api.Done:
				t.Fatalf("%s has not been done: %d of %d; %s", id, len(j.Done), j.Spec.Tasks, s.explain(id))
			}
		}
		if len(s.w.Violations) > 0 {
			t.Fatalf("%v", s.w.Violations)
		}
	})
}
