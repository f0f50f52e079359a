package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/simulator"
)

// One-task jobs come four a second for minutes and a quarter of them is cancelled, through
// any node and at any age.
func TestMeetOneTaskJobs(t *testing.T) {
	s := warmSim()
	for k := range 120 { // a minute of two jobs a round
		for i := range 2 {
			id := s.array(1, 2*time.Second, func(r *api.Job) { r.GPUs, r.CPUs, r.MemGB = 0, 0.5, 1 })
			if n := 2*k + i; n%4 == 0 {
				s.w.Jobs[id].RunTime = time.Minute
				s.cancel(n%3, s.uids[max(0, len(s.uids)-1-n%7)])
			}
		}
		switch k {
		case 40:
			s.start(0)
		case 80:
			s.w.Store.Next["n1"] = simulator.Late
		case 90:
			s.w.Store.DeliverLate()
		}
		s.pass(t, 1)
	}
	s.finish(t)
}

// A transaction is carried out at once and only its answer is lost, while other nodes
// read what it wrote and tell it: an acceptance, an end, a cancellation.
func TestMeetLostAnswerWhileOthersRead(t *testing.T) {
	s := warmSim()
	s.w.Store.Next["n0"] = simulator.LoseAfter
	a := s.array(2, 4*time.Second, nil) // its user may have heard nothing
	if !s.w.Jobs[a].Accepted {
		t.Error("an acceptance whose answer was lost is not settled by reading")
	}
	s.lookEverywhere(a)
	b := s.service(2, nil)
	s.rounds(t, 80, "all run", func() bool { return s.running(b) == 2 })
	s.w.Store.Next["n1"] = simulator.LoseAfter
	s.cancel(1, b)
	s.lookEverywhere(b)
	if s.w.Jobs[b].FinalPhase != api.Cancelled {
		t.Error("other nodes don't read the cancellation")
	}
	for range 60 { // each end's answer is lost too
		for _, n := range s.nodes {
			s.w.Store.Next[n.name] = simulator.LoseAfter
		}
		s.pass(t, 1)
		s.lookEverywhere(a)
	}
	if s.w.Jobs[a].FinalPhase != api.Done {
		t.Error("an end whose answers are lost is never told")
	}
	s.finish(t)
}

// A cancellation, a question and a repeated submission meet the end of a job's last task,
// with no other trouble and with one that loses answers.
func TestMeetLastTaskEnds(t *testing.T) {
	for node := range 3 {
		for _, f := range []simulator.Fault{simulator.None, simulator.LoseAfter, simulator.LoseBefore, simulator.Late} {
			for _, shape := range []string{api.Array, api.Gang} {
				s := warmSim()
				id := s.array(2, 2*time.Second, func(r *api.Job) { r.Kind = shape })
				ends := 0
				s.w.OnTaskDone = func(uid string) {
					if ends++; uid == id && ends == 2 {
						s.w.Store.Next[s.nodes[node].name] = f
						s.cancel(node, id)
						s.lookEverywhere(id)
					}
				}
				s.rounds(t, 80, "both ended", func() bool { return ends == 2 })
				for range 12 {
					s.lookEverywhere(id)
					s.pass(t, 1)
				}
				s.w.Store.DeliverLate()
				s.lookEverywhere(id)
				if s.finish(t); s.w.Jobs[id].FinalPhase == "" {
					t.Errorf("node %d, fault %d, %s: never over", node, f, shape)
				}
			}
		}
	}
}

// A cancellation is confirmed by another node in the moment between a decision and its
// transaction: a placement, the end of the last task, a claim of a gang. The later of the
// two is not carried out.
func TestMeetCancelBesideDecision(t *testing.T) {
	for _, shape := range []string{api.Array, api.Gang} {
		for _, last := range []bool{false, true} {
			s := warmSim()
			low := s.array(4, time.Hour, func(r *api.Job) { r.Priority = "idle" })
			s.rounds(t, 80, "machines are up", func() bool { return s.running(low) == 4 })
			id := s.array(2, 2*time.Second, func(r *api.Job) { r.Kind = shape })
			if last {
				ends := 0
				s.w.OnTaskDone = func(uid string) {
					if uid == id {
						ends++
					}
				}
				s.rounds(t, 80, "both ended", func() bool { return ends == 2 })
			}
			told := ""
			s.stall(func(node int) {
				if told != "" {
					return
				}
				s.cancel((node+1)%3, id)
				told = s.w.Jobs[id].FinalPhase
				s.lookEverywhere(id)
			})
			for range 12 {
				s.pass(t, 1)
				s.lookEverywhere(id)
			}
			if told != api.Cancelled {
				t.Errorf("%s, last %t: told %q", shape, last, told)
			}
			s.cancel(0, low)
			s.finish(t)
			if s.w.LateStarts > 0 {
				t.Errorf("%s, last %t: %d starts after a confirmed cancellation", shape, last, s.w.LateStarts)
			}
		}
	}
}

// Users ask at all nodes, again and again, and repeat the submission, right after a job
// was accepted, ended or confirmed as cancelled, and some cancel at once.
func TestMeetCloseLooks(t *testing.T) {
	s := warmSim()
	for k := range 24 {
		var id string
		if k%3 == 0 {
			id = s.service(1, nil)
		} else {
			id = s.array(1, time.Second, nil)
		}
		s.lookEverywhere(id)
		if k%3 == 0 {
			s.cancel((k+1)%3, id)
			s.lookEverywhere(id)
			if s.w.Jobs[id].FinalPhase != api.Cancelled {
				t.Fatal("not confirmed")
			}
		}
		switch k {
		case 6:
			s.w.Store.Refuse["n2"] = true // it passes its users on
		case 12:
			s.w.Store.Refuse["n2"] = false
		case 15:
			s.start(1)
		}
		for range 4 {
			s.pass(t, 1)
			for _, id := range s.uids {
				s.lookEverywhere(id)
			}
		}
	}
	s.finish(t)
	if s.w.LateStarts > 0 {
		t.Errorf("%d starts were sent after a confirmed cancellation", s.w.LateStarts)
	}
}

// The checker of what waits catches too: a controller that believes in a lower limit than
// there is leaves a job waiting beside room.
func TestFinishCatches(t *testing.T) {
	for _, planted := range []bool{false, true} {
		s := newSim()
		s.w.TeamGPULimits["b"] = 8
		for i := range s.nodes {
			s.start(i)
		}
		s.pass(t, 10)
		id := s.service(3, nil) // leaves room on one of two machines
		s.rounds(t, 80, "replicas run", func() bool { return s.running(id) == 3 })
		s.w.Cloud.Full = true
		if planted {
			for _, n := range s.nodes {
				n.c.node.Settings.Facts.Teams[1].GPUsMax = 3
			}
		}
		s.array(1, time.Second, nil)
		since := map[string]time.Time{}
		for range 240 {
			s.round()
			s.waits(since)
		}
		if caught := len(s.w.Violations) > 0; caught != planted {
			t.Errorf("planted %t: %v", planted, s.w.Violations)
		}
	}
}

// recorder keeps what a checker would fail with.
type recorder []string

func (r *recorder) Fatalf(format string, args ...any) {
	*r = append(*r, fmt.Sprintf(format, args...))
}

// The checker of odd requests catches: a controller that knows a team too many, or a
// machine type that there is not, accepts what can't run.
func TestOddCatches(t *testing.T) {
	for what, plant := range map[string]func(c *Controller){
		"": func(*Controller) {},
		"a team": func(c *Controller) {
			c.node.Settings.Facts.Teams = append(c.node.Settings.Facts.Teams, config.Team{Name: "nobody"})
		},
		"a large build": func(c *Controller) { c.testState().Catalog.MachineTypes[0].GPUs = 100 },
	} {
		s := warmSim()
		plant(s.nodes[1].c)
		var caught recorder
		if s.odd(&caught, 1); len(caught) > 0 != (what != "") {
			t.Errorf("planted %q: %v", what, caught)
		}
	}
}

// A job that is over, asked about by a repetition that is longer than a record may be, is
// answered with its state by a controller that remembers nothing of it.
func TestLongRepetitionOfKnownJob(t *testing.T) {
	s := warmSim()
	id := s.array(1, time.Second, nil)
	s.rounds(t, 80, "done", s.done(id))
	s.start(1)
	s.pass(t, 6)
	r := s.w.Jobs[id].Spec
	r.Image = strings.Repeat("x", 4000)
	if got := s.nodes[1].c.frontend.Submit(t.Context(), simulator.Submission(&r)); got.Status != 200 {
		t.Errorf("answered %d", got.Status)
	}
	r.UID = "run-999999"
	if got := s.nodes[1].c.frontend.Submit(t.Context(), simulator.Submission(&r)); got.Status != 400 {
		t.Errorf("one that nobody knows is answered %d", got.Status)
	}
}
