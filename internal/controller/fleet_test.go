package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/statecache"
)

// A job that needs a thousand machines has them all rented while the first boot. Its tasks
// were once looked at a few hundred at a time: those met the machines that were coming,
// and nothing more was rented before they were up.
func TestLargeJobRentsAllItNeeds(t *testing.T) {
	s := newSim()
	s.w.MachineType.Boot = 100 * time.Second
	for range 10 {
		s.round()
	}
	s.job(func(r *api.Job, d *time.Duration) { r.Tasks, *d = 2000, time.Hour })
	s.rounds(t, 60, "a thousand machines are rented", func() bool { return len(s.w.Cloud.Hosts) >= 1000 })
	if n := len(s.w.Cloud.Hosts); n > 1100 {
		t.Errorf("%d machines are rented for 2000 tasks, two a machine", n)
	}
	for _, x := range s.w.Cloud.Workers() {
		if x.Up() {
			t.Fatal("the first machines are up before the last are rented")
		}
	}
}

// Machines that went lately stay known as gone however many went: a late copy of one's
// report must not bring it back. All of them were once forgotten at a fixed number.
func TestLatelyGoneMachinesAreRemembered(t *testing.T) {
	m := statecache.New(nil)
	name := func(i int) string { return fmt.Sprintf("i-%06d", i) }
	const machines = 3 * statecache.MinTerminated
	for i := range machines {
		m.NoteTerminated(name(i))
		for back := range min(i, statecache.MinTerminated/2) {
			if back%97 == 0 && !m.Terminated[name(i-back)] {
				t.Fatalf("of %d that went the %dth last is not remembered", i+1, back+1)
			}
		}
	}
	if len(m.Terminated) > statecache.MinTerminated {
		t.Errorf("%d are remembered", len(m.Terminated))
	}
}

// A watch that falls behind by more changes than the state service keeps reads all records
// anew and goes on.
func TestWatchFallsBehind(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 2 })
	s.rounds(t, 60, "replicas run", func() bool { return s.running(id) == 2 })
	s.nodes[2].still = true
	s.w.Store.ExpireHistory()
	s.nodes[2].still = false
	terminated := s.job(nil)
	s.rounds(t, 80, "the controller that fell behind knows what came meanwhile", func() bool {
		return s.nodes[2].c.testState().Cache.Loaded && s.nodes[2].c.testState().Cache.Revision >= s.nodes[0].c.testState().Cache.Revision && s.done(terminated)()
	})
	if n := s.running(id); n != 2 {
		t.Errorf("%d of 2 replicas run", n)
	}
}
