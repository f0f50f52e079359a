package controller

import (
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
)

// The checkers catch a controller that breaks the rules: one that believes a
// shorter lease, or a higher limit, than the world has. Unchanged, the same day
// breaks nothing.
func TestCheckersCatch(t *testing.T) {
	cut := func(s *sim) { // one machine is cut off while its tasks run on, another has room
		s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 3 })
		for range 60 {
			s.round()
		}
		for _, h := range s.w.Cloud.Names() {
			if x := s.w.Cloud.Hosts[h]; len(x.Tasks) == 2 {
				x.Partitioned = true
			}
		}
		for range 60 {
			s.round()
		}
	}
	hang := func(s *sim) { // one machine stands still within its lease and goes on
		s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 3 })
		for range 60 {
			s.round()
		}
		for _, h := range s.w.Cloud.Names() {
			if x := s.w.Cloud.Hosts[h]; len(x.Tasks) == 2 {
				x.Hung = true
				defer func() { x.Hung = false }()
			}
		}
		for range 17 { // just less than its lease
			s.round()
		}
	}
	withdraw := func(s *sim) { // a zone is cut off when jobs there are cancelled
		s.w.CancelS = 16 * time.Second
		for _, n := range s.nodes {
			if f := &n.c.node.Settings.Facts.Workers; f.CancelS == 40 {
				f.CancelS = 16
			}
		}
		id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Zone = api.Service, 4, "y" })
		for range 60 {
			s.round()
		}
		s.cutZone("y") // with n1, which owns the machines there
		s.round()
		s.cancel(0, id)
		for range 60 {
			s.round()
		}
	}
	crowd := func(s *sim) {
		s.job(func(r *api.Job, d *time.Duration) {
			r.Team, r.Tasks = "a", 12
			*d = time.Minute
		})
		for range 80 {
			s.round()
		}
	}
	// The same of gangs: one whose machine is cut off, one cancelled out of observation, and
	// several that together would pass their team's limit.
	cutGang := func(s *sim) {
		s.w.GangPeer = 20 * time.Second // its tasks go on where they can't be seen
		id := s.job(func(r *api.Job, d *time.Duration) { r.Kind, r.Tasks, *d = api.Gang, 3, 5*time.Minute })
		s.job(func(r *api.Job, d *time.Duration) { r.Priority, r.Tasks, *d = "idle", 2, 5*time.Minute }) // has room to be taken
		for range 60 {
			s.round()
		}
		for _, h := range s.w.Cloud.Names() {
			if s.hostsOf(id)[h] == 2 {
				s.w.Cloud.Hosts[h].Partitioned = true
			}
		}
		for range 60 {
			s.round()
		}
	}
	moveGang := func(s *sim) { // all machines in the zone of one that goes together are cut off, the other has room to be taken
		s.w.GangPeer = 20 * time.Second
		id := s.job(func(r *api.Job, d *time.Duration) {
			r.Kind, r.Together, r.Tasks, *d = api.Gang, true, 3, 5*time.Minute
		})
		for _, zone := range s.w.Zones {
			s.job(func(r *api.Job, d *time.Duration) { r.Priority, r.Zone, r.Tasks, *d = "idle", zone, 4, 5*time.Minute })
		}
		for range 60 {
			s.round()
		}
		at := s.holder(id).Zone
		for _, x := range s.w.Cloud.Hosts {
			x.Partitioned = x.Zone == at
		}
		for range 60 {
			s.round()
		}
	}
	withdrawGang := func(s *sim) {
		s.w.CancelS = 16 * time.Second
		for _, n := range s.nodes {
			if f := &n.c.node.Settings.Facts.Workers; f.CancelS == 40 {
				f.CancelS = 16
			}
		}
		id := s.job(func(r *api.Job, d *time.Duration) {
			r.Kind, r.Tasks, r.Zone, *d = api.Gang, 4, "y", 5*time.Minute
		})
		for range 60 {
			s.round()
		}
		s.cutZone("y")
		s.round()
		s.cancel(0, id)
		for range 60 {
			s.round()
		}
	}
	crowdGangs := func(s *sim) {
		for range 4 {
			s.job(func(r *api.Job, d *time.Duration) { r.Team, r.Kind, r.Tasks, *d = "a", api.Gang, 3, time.Minute })
		}
		for range 80 {
			s.round()
		}
	}
	for _, x := range []struct {
		rule   string
		mutate func(c *Controller)
		day    func(*sim)
	}{
		{"ran_twice", func(c *Controller) { c.node.Settings.Facts.Workers.LeaseS = 4 }, cutGang},
		{"wrong_place", func(c *Controller) { c.node.Settings.Facts.Workers.LeaseS = 4 }, moveGang},
		{"ran_cancelled", func(c *Controller) { c.node.Settings.Facts.Workers.CancelS = 30 }, withdrawGang},
		{"quota", func(c *Controller) { c.node.Settings.Facts.Teams[0].GPUsMax = 9 }, crowdGangs},
		{"ran_twice", func(c *Controller) { c.node.Settings.Facts.Workers.LeaseS = 4 }, cut},
		{"ran_twice", func(c *Controller) { c.node.Settings.Facts.Workers.LeaseS = 4 }, hang},
		{"ran_cancelled", func(c *Controller) { c.node.Settings.Facts.Workers.CancelS = 30 }, withdraw},
		{"quota", func(c *Controller) { c.node.Settings.Facts.Teams[0].GPUsMax = 9 }, crowd},
	} {
		for _, mutated := range []bool{false, true} {
			s := warmSim()
			if mutated {
				for _, n := range s.nodes {
					x.mutate(n.c)
				}
			}
			x.day(s)
			caught := false
			for _, b := range s.w.Violations {
				caught = caught || strings.HasPrefix(b, x.rule)
			}
			if caught != mutated {
				t.Errorf("%s, mutated %t: %v", x.rule, mutated, s.w.Violations)
			}
		}
	}
}
