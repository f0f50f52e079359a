package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/peer"
	"violetturn/internal/statecache"
)

// served returns the node that owns the machine of one of a job's tasks, and another.
func (s *sim) served(t interface{ Fatalf(string, ...any) }, uid string) (owner, other int) {
	for h := range s.hostsOf(uid) {
		m := s.nodes[0].c.testState().Cache.Machines[h]
		for i, n := range s.nodes {
			if n.c.testState().Leadership.Leads(m.Shard) {
				return i, (i + 1) % len(s.nodes)
			}
		}
	}
	t.Fatalf("nobody serves %s", uid)
	return 0, 0
}

// gapDay brings the gap about: the state service refuses a leader alone, jobs are called
// off through another controller, and then it is out for all, for longer than cancel_s,
// while the workers go on reporting to the old leader. It returns the job that was called
// off and one that was not; meet happens right after the confirmation.
func gapDay(t *testing.T, meet func(s *sim, leader, other int)) (s *sim, off, on string) {
	s = warmSim()
	zone := func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Zone = api.Service, 3, "x" }
	off, on = s.job(zone), s.job(zone)
	s.rounds(t, 80, "replicas run", func() bool { return s.running(off) == 3 && s.running(on) == 3 })
	leader, other := s.served(t, off)
	s.w.Store.Refuse[s.nodes[leader].name] = true
	s.step(leader) // it notices
	if s.cancel(other, off); s.w.Jobs[off].FinalPhase != api.Cancelled {
		t.Fatal("not confirmed")
	}
	s.w.Store.Down = true
	meet(s, leader, other)
	for range int(s.w.CancelS/(500*time.Millisecond)) + 20 {
		s.round()
		if len(s.w.Violations) > 0 {
			t.Fatalf("%v", s.w.Violations)
		}
	}
	if n := s.running(off); n > 0 {
		t.Fatalf("%d cancelled tasks run on", n)
	}
	return s, off, on
}

// Tasks cancelled out of the old leader's observation are gone in time, whatever it and the
// one that confirmed go through; and as long as all controllers can answer for what
// they did, nothing else is lost with them.
func TestGap(t *testing.T) {
	none := func(*sim, int, int) {}
	s, _, on := gapDay(t, none)
	if n := s.running(on); n != 3 {
		t.Errorf("%d of 3 replicas outlive an outage in which all controllers answer one another", n)
	}
	for what, meet := range map[string]func(s *sim, leader, other int){
		"no links":                   func(s *sim, _, _ int) { s.refuse = true },
		"the confirmer ends":         func(s *sim, _, other int) { s.nodes[other].up = false },
		"the confirmer is back":      func(s *sim, _, other int) { s.start(other) },
		"the leader is back":         func(s *sim, leader, _ int) { s.start(leader) },
		"the confirmer stands still": func(s *sim, _, other int) { s.nodes[other].still = true },
		"machines hang within their leases": func(s *sim, _, _ int) {
			for _, x := range s.w.Cloud.Hosts {
				x.Hung = true
			}
			for range 14 {
				s.round()
			}
			for _, x := range s.w.Cloud.Hosts {
				x.Hung = false
			}
		},
		"the leader can't reach the others, its workers can": func(s *sim, leader, _ int) {
			s.w.Store.Unreachable[s.nodes[leader].name], s.refuse = true, true
		},
	} {
		t.Run(what, func(t *testing.T) { gapDay(t, meet) })
	}
}

// A leader that stands still after it judged a heartbeat and then sends its answer; a
// worker that hears nothing but old answers; leases and cancel_s that leave much time,
// little, or none at all. On both sides of each bound: no task is on its machine later
// than cancel_s after any user was told, and with controllers that answer one another,
// a confirmation comes once all troubles are over.
func TestGapTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim()
		secs := func(name string, from, to int) time.Duration { // in tenths
			return time.Duration(rapid.IntRange(from*10, to*10).Draw(t, name)) * 100 * time.Millisecond
		}
		s.w.Lease = secs("lease", 4, 20)
		s.w.CancelS = time.Duration(float64(s.w.Lease) * rapid.Float64Range(0.4, 4).Draw(t, "cancel_s/lease_s")).
			Round(100 * time.Millisecond)
		for i := range s.nodes {
			s.start(i)
		}
		for range 10 {
			s.round()
		}
		var off string
		for range 2 {
			off = s.job(func(r *api.Job, _ *time.Duration) {
				r.Kind, r.Tasks, r.Zone = api.Service, rapid.IntRange(1, 3).Draw(t, "pieces"), "x"
				if rapid.Bool().Draw(t, "saves") {
					r.CheckpointS, r.SaveS = 5, 3
				}
			})
		}
		for range rapid.IntRange(24, 60).Draw(t, "rounds") { // some starts are still on their way
			s.round()
		}
		leader, other := 0, 1
		if len(s.hostsOf(off)) > 0 {
			leader, other = s.served(t, off)
		}
		at := func(what string, most int) time.Time { return s.w.Now.Add(secs(what, 0, most)) }
		type event struct {
			at time.Time
			do func()
		}
		var events []event
		span := int(2 * (s.w.CancelS + s.w.Lease) / time.Second)
		when := func(what string, most int, do func()) { events = append(events, event{at(what, most), do}) }
		during := func(what string, most int, do func(bool)) {
			from := at(what+" from", most)
			until := from.Add(secs(what+" for", 0, span))
			events = append(events, event{from, func() { do(true) }}, event{until, func() { do(false) }})
		}
		name := s.nodes[leader].name
		during("refused", 4, func(on bool) { s.w.Store.Refuse[name] = on })
		during("out", 8, func(on bool) { s.w.Store.Down = on })
		when("cancel", 8, func() { s.cancel(other, off) })
		if rapid.Bool().Draw(t, "unlinked") {
			during("unlinked", 12, func(on bool) { s.refuse = on })
		}
		for _, i := range []int{leader, other} {
			switch rapid.SampledFrom([]string{"", "", "ends", "back at once", "still"}).Draw(t, "node") {
			case "ends":
				during("away", 16, func(away bool) {
					if s.nodes[i].up = false; !away {
						s.start(i)
					}
				})
			case "back at once":
				when("back", 16, func() { s.start(i) })
			case "still":
				during("still", 16, func(still bool) { s.nodes[i].still = still })
			}
		}
		slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
		step := rapid.SampledFrom([]time.Duration{200, 300, 500}).Draw(t, "step") * time.Millisecond
		check := func() {
			if len(s.w.Violations) > 0 {
				t.Fatalf(
					"lease %v, cancel_s %v, grace %v, unseen %v: %v", s.w.Lease, s.w.CancelS, s.nodes[0].c.node.Settings.LeadershipGrace(),
					s.nodes[0].c.node.Settings.MaxStaleness(), s.w.Violations,
				)
			}
		}
		faults := rapid.SliceOfN(rapid.IntRange(0, 11), 40, 40).Draw(t, "faults")
		for k, end := 0, s.w.Now.Add(time.Duration(span)*time.Second); s.w.Now.Before(end) || len(events) > 0; k++ {
			for len(events) > 0 && !s.w.Now.Before(events[0].at) {
				events[0].do()
				events = events[1:]
			}
			for i := range s.nodes {
				s.step(i)
			}
			for i, h := range s.w.Cloud.Names() {
				f := reportFault(faults[(k+i)%len(faults)])
				if f > answerSlow {
					f = reportOK
				}
				s.report(s.w.Cloud.Hosts[h], f)
			}
			if s.w.Jobs[off].CancelRequested { // any node may be the one that tells
				s.poll(k%len(s.nodes), off)
			}
			s.w.Advance(step)
			check()
		}
		s.heal()
		for k := 0; k < 300 && s.w.Jobs[off].FinalPhase == ""; k++ {
			s.round()
			s.cancel(other, off)
			check()
		}
		if s.w.Jobs[off].FinalPhase != api.Cancelled {
			t.Fatalf("lease %v, cancel_s %v: never confirmed", s.w.Lease, s.w.CancelS)
		}
		for range int(s.w.CancelS/(500*time.Millisecond)) + 2 {
			s.round()
			check()
		}
	})
}

// What a controller acknowledges holds for nothing it may have done before it could
// tell: right after its start, beyond what it keeps, or asked by who has read more.
func TestAcknowledgement(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind = api.Service })
	for range 30 {
		s.round()
	}
	c := s.nodes[1].c
	before := c.testState().Cache.Revision
	s.cancel(1, id)
	if v := c.testState().Leadership.Acknowledgement(before); !v.GetComplete() || !slices.Contains(v.GetCancelled(), id) {
		t.Errorf("what it confirmed is not told: %v", v)
	}
	if err := c.sync.ReadNewest(context.Background()); err != nil {
		t.Fatal(err)
	}
	if v := c.testState().Leadership.Acknowledgement(c.testState().Cache.Revision); !v.GetComplete() || len(v.GetCancelled()) > 0 {
		t.Errorf("told what the asker has read: %v", v)
	}
	for i := range statecache.MaxCancellations {
		c.testState().Cache.NoteCancellation("run-9", c.testState().Cache.Revision+uint64(i)+1)
	}
	if c.testState().Leadership.Acknowledgement(before).GetComplete() {
		t.Error("it says that it told all, and has forgotten some")
	}
	s.start(1)
	if s.nodes[1].c.testState().Leadership.Acknowledgement(before).GetComplete() {
		t.Error("it acknowledges before it has read what there is")
	}
	for range 4 {
		s.round()
	}
	if s.nodes[1].c.testState().Leadership.Acknowledgement(before).GetComplete() {
		t.Error("it acknowledges for its earlier life")
	}
	if !s.nodes[1].c.testState().Leadership.Acknowledgement(s.nodes[1].c.testState().Cache.Revision).GetComplete() {
		t.Error("it never acknowledges again")
	}

	// A leader's time counts from the oldest of all its peers' answers, and one that
	// does not know the question, or can't say, is as good as silent.
	o := s.nodes[0].c
	now := o.testState().Node.Now()
	o.testState().Leadership.NoteAcknowledgement("n1", &peer.Acknowledgement{Complete: true}, now)
	if !o.testState().Leadership.AcknowledgedByAllUntil().IsZero() {
		t.Error("one peer of two acknowledges for both")
	}
	o.testState().Leadership.NoteAcknowledgement("n2", &peer.Acknowledgement{Complete: true}, now.Add(-time.Second))
	o.testState().Leadership.NoteAcknowledgement("n2", nil, now)
	o.testState().Leadership.NoteAcknowledgement("n2", &peer.Acknowledgement{}, now)
	if got := o.testState().Leadership.AcknowledgedByAllUntil(); !got.Equal(now.Add(-time.Second)) {
		t.Errorf("acknowledged until %v, not the oldest answer's %v", got, now.Add(-time.Second))
	}
	o.testState().Node.Settings.Facts.Size = 4
	if !o.testState().Leadership.AcknowledgedByAllUntil().IsZero() {
		t.Error("a controller that can't be asked counts as acknowledging")
	}
	old := &peer.Reply{StoreReached: true, Status: 404}
	if old.GetAcknowledgement().GetComplete() {
		t.Error("the version in production vouches")
	}
}

// A leader that hears from a peer that its shard was taken stops answering at once and
// sends its workers there, long before its own time is over.
func TestReplacedOwnerSendsWorkersOn(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Zone = api.Service, 3, "x" })
	s.rounds(t, 80, "replicas run", func() bool { return s.running(id) == 3 })
	leader, _ := s.served(t, id)
	home := s.nodes[leader].name
	s.w.Store.Refuse[home] = true
	s.rounds(t, 40, "taken", func() bool { o := s.owner(home); return o != "" && o != home })
	c := s.nodes[leader].c
	c.members.AskPeers(context.Background())
	if o := c.testState().Leadership.Known(home); o == nil || o.Successor() != s.owner(home) {
		t.Fatalf("it does not know: %+v", o)
	}
	for h, m := range c.testState().Cache.Machines {
		if x := s.w.Cloud.Hosts[h]; m.Shard == home && x != nil && x.Up() {
			r := x.Heartbeat()
			r.Token = 0
			if status, _, steward := s.deliver(leader, api.JSON(r)); status != 421 || steward != s.owner(home) {
				t.Errorf("%s is answered %d, steward %q", h, status, steward)
			}
		}
	}
	for range 60 {
		s.round()
		if len(s.w.Violations) > 0 || s.running(id) != 3 {
			t.Fatalf("%d replicas, %v", s.running(id), s.w.Violations)
		}
	}
}
