package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// Leaders change ten times in two minutes, also inside an outage: with machines that
// answer, no replica is lost.
func TestMeetTenChangesOfLeader(t *testing.T) {
	s := warmSim()
	id := s.service(4, nil)
	s.rounds(t, 80, "replicas run", func() bool { return s.running(id) == 4 })
	for k := range 10 {
		leader, _ := s.served(t, id)
		s.w.Store.Down = k == 4 || k == 5
		s.start(leader) // ends, and is back within one step
		s.pass(t, 4)
		s.w.Store.Down = false
		if s.pass(t, 20); s.running(id) != 4 {
			t.Fatalf("%d of 4 replicas after %d changes", s.running(id), k+1)
		}
	}
	s.finish(t)
}

// A leader is cut from the state service and from the other controllers while workers
// and users still reach it, and jobs are cancelled through the new one.
func TestMeetLeaderAlone(t *testing.T) {
	s := warmSim()
	off, on := s.service(3, nil), s.service(2, nil)
	s.rounds(t, 80, "replicas run", func() bool { return s.running(off) == 3 && s.running(on) == 2 })
	leader, other := s.served(t, off)
	s.w.Store.Unreachable[s.nodes[leader].name], s.alone[leader] = true, true
	for i, n := range s.nodes { // nor do the others reach its workers, which stay with it
		n.direct.PartitionedFrom = func(*simulator.Worker) bool { return i != leader }
	}
	s.w.Cloud.Down = true // or the machines, silent to the new leader, go back
	s.cancel(other, off)
	for range 100 {
		s.poll(leader, off)
		s.poll(leader, on)
		s.pass(t, 1)
	}
	if s.present(off) > 0 {
		t.Error("cancelled tasks run on")
	}
	s.finish(t)
}

// All controllers are away for longer than a lease; they hand over and back, all end, and
// one returns, also at once.
func TestMeetAllAway(t *testing.T) {
	for _, away := range []time.Duration{0, 4 * time.Second, 8500 * time.Millisecond, 9500 * time.Millisecond, 25 * time.Second} {
		for _, first := range []int{0, 2} {
			s := warmSim()
			id := s.service(3, nil)
			s.array(6, 10*time.Second, nil)
			s.rounds(t, 80, "replicas run", func() bool { return s.running(id) == 3 })
			s.w.Store.Refuse["n1"] = true // handed over
			s.rounds(t, 40, "part of n1 taken", func() bool { o := s.owner("n1"); return o != "" && o != "n1" })
			s.w.Store.Refuse["n1"] = false // and back
			s.pass(t, 3)
			for _, n := range s.nodes {
				n.up = false
			}
			s.w.Advance(away)
			s.start(first)
			s.pass(t, 20)
			if o := s.owner("n1"); o != s.nodes[first].name {
				t.Errorf("away %v: part of n1 with %q", away, o)
			}
			s.finish(t)
		}
	}
}

// A leader ends while machines with long tasks can't be reached, or don't hear the new
// leader's answers: the tasks go elsewhere, once each is surely gone.
func TestMeetLeaderEndsMachinesUnreached(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		s := warmSim()
		id := s.array(4, 40*time.Second, nil)
		s.rounds(t, 80, "tasks run", func() bool { return s.running(id) == 4 })
		leader, _ := s.served(t, id)
		for h := range s.hostsOf(id) {
			s.w.Cloud.Hosts[h].Partitioned, s.w.Cloud.Hosts[h].InboundLost = !deaf, deaf
		}
		s.nodes[leader].up = false
		s.rounds(t, 200, "tasks run elsewhere", func() bool {
			n := 0
			for h, k := range s.hostsOf(id) {
				if x := s.w.Cloud.Hosts[h]; !x.Partitioned && !x.InboundLost {
					n += k
				}
			}
			return n == 4
		})
		s.finish(t)
	}
}

// Jobs are cancelled in the seconds in which one controller's work changes hands: before
// its end shows, while nobody owns the shard, as it is taken, and as it is handed back.
func TestMeetCancelInHandover(t *testing.T) {
	for after := range 12 {
		s := warmSim()
		var ids []string
		for range 4 {
			ids = append(ids, s.service(2, nil))
		}
		s.rounds(t, 120, "replicas run", func() bool { return s.running(ids[3]) == 2 && s.running(ids[0]) == 2 })
		leader, other := s.served(t, ids[0])
		s.nodes[leader].up = false
		s.pass(t, after)
		s.cancel(other, ids[0])
		s.pass(t, 1)
		s.start(leader)
		s.cancel((other+1)%3, ids[1])
		s.pass(t, after)
		s.cancel(leader, ids[2])
		s.rounds(t, 80, "cancelled ones gone", func() bool {
			for _, id := range ids[:3] {
				if s.w.Jobs[id].FinalPhase == "" { // their users ask again
					s.cancel(other, id)
				}
			}
			return s.present(ids[0]) == 0 && s.present(ids[1]) == 0 && s.present(ids[2]) == 0 && s.running(ids[3]) == 2
		})
		s.finish(t)
	}
}

// Jobs of two or three tasks end far apart across a change of leader: the ends that were
// not committed yet are found by the next one, and the job is known to be done at once
// when its last task is.
func TestMeetEndsFarApart(t *testing.T) {
	for _, tasks := range []int{2, 3} {
		s := warmSim()
		id := s.array(tasks, 3*time.Second, nil)
		s.w.Jobs[id].Step = 12 * time.Second
		s.rounds(t, 80, "the first has ended", func() bool { return len(s.w.Jobs[id].Done) == 1 })
		leader, _ := s.served(t, id)
		s.start(leader) // its release of the first is forgotten
		s.pass(t, 8)
		s.nodes[leader].up = false
		s.rounds(t, 80, "all have ended", func() bool { return len(s.w.Jobs[id].Done) == tasks })
		s.rounds(t, 8, "known to be done", func() bool {
			for i, n := range s.nodes {
				if n.up {
					s.poll(i, id)
				}
			}
			return s.w.Jobs[id].FinalPhase == api.Done
		})
		s.finish(t)
	}
}

// A heartbeat that was held back since before a start reaches the new leader when the job
// has been cancelled and the machine is cut off: it shows nothing about now, and the
// team, which is at its limit, has no room before the lease is over.
func TestMeetHeldReport(t *testing.T) {
	s := warmSim()
	first := s.array(5, time.Second, func(r *api.Job) { r.Team, r.Zone = "a", "x" })
	s.rounds(t, 120, "machines are up", s.done(first))
	var held [][]byte
	for _, h := range s.w.Cloud.Names() {
		held = append(held, api.JSON(s.w.Cloud.Hosts[h].Heartbeat()))
	}
	off := s.service(5, func(r *api.Job) { r.Team, r.Zone = "a", "x" })
	s.rounds(t, 80, "replicas run", func() bool { return s.running(off) == 5 })
	spare := s.service(4, func(r *api.Job) { r.Zone = "y" }) // leaves machines with room when it goes
	s.rounds(t, 80, "replicas run", func() bool { return s.running(spare) == 4 })
	for h := range s.hostsOf(off) {
		s.w.Cloud.Hosts[h].Partitioned = true
	}
	s.pass(t, 1)
	for i := range s.nodes {
		s.start(i) // all are new leaders at once
	}
	s.pass(t, 2)
	for _, id := range []string{off, spare} {
		s.cancel(1, id)
	}
	s.array(4, 2*time.Second, func(r *api.Job) { r.Team, r.Zone = "a", "y" })
	s.pass(t, 1) // the new leader knows
	for _, b := range held {
		for i := range s.nodes {
			s.deliver(i, b)
		}
	}
	s.pass(t, 24)
	s.finish(t)
}

// An old report, several even, reaches every controller just as a new leader begins, and
// another was held back until it had acted: the machine's own reports are heard all the
// same, and its tasks run on.
func TestMeetOldReportsAndNewLeader(t *testing.T) {
	s := warmSim()
	id := s.service(2, nil)
	s.rounds(t, 60, "replicas run", func() bool { return s.running(id) == 2 })
	leader, other := s.served(t, id)
	for range 6 {
		s.pass(t, 1)
	}
	old := s.copies
	s.nodes[leader].up = false
	for _, n := range s.nodes { // fences of the new leader are held up
		n.direct.PartitionedFrom = func(*simulator.Worker) bool { return true }
	}
	held := [][]byte{}
	for _, h := range s.w.Cloud.Names() {
		held = append(held, api.JSON(s.w.Cloud.Hosts[h].Heartbeat()))
	}
	for range 60 {
		for i := range s.nodes {
			s.step(i)
		}
		if o := s.owner(s.nodes[leader].name); o != "" {
			break
		}
		s.w.Advance(100 * time.Millisecond)
	}
	taker := s.owner(s.nodes[leader].name)
	if taker == "" {
		t.Fatal("nobody took the part")
	}
	for _, x := range old {
		for i := range s.nodes {
			s.deliver(i, x.body)
		}
	}
	for k := range 100 {
		s.round()
		if k == 8 { // the new leader has acted
			for _, b := range held {
				for i := range s.nodes {
					s.deliver(i, b)
				}
			}
		}
		if s.running(id) != 2 || len(s.w.Violations) > 0 {
			t.Fatalf("round %d: %d of 2 replicas, %v", k, s.running(id), s.w.Violations)
		}
	}
	s.cancel(other, id)
	s.finish(t)
}
