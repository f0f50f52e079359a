package controller

import "violetturn/internal/recovery"

// zones follows where the tasks of a job are or will be, for jobs that are to
// go together or be scattered. A job of several chunks is scattered chunk by
// chunk: chunks are of even size, so that half of each is half of all.
type zones struct {
	j     *liveJob
	zone  string // of a job that goes together
	count map[int]map[string]int
	gate  *zoneGate // of zones that return, for work below production; nil: all are open
}

// zonesOf gives the zones of a job; admission tells what it may take of those that return.
// Call with the lock held.
func (c *Controller) zonesOf(j *liveJob, admission *recovery.Admission) *zones {
	z := &zones{j: j, zone: j.main.Zone, count: map[int]map[string]int{}, gate: c.gateOf(j, admission)}
	if isGang(j) && j.placed() == 0 {
		z.zone = "" // nothing binds its next attempt
	}
	if j.main.Spec.Spread {
		for n, ch := range j.chunks {
			for _, p := range ch.v.Places {
				if h := c.replica.hosts[p.Host]; h != nil {
					z.note(n, h.Zone)
				}
			}
		}
	}
	return z
}

// add notes that a task of a chunk goes to a zone.
func (z *zones) add(chunk int, site string) {
	z.note(chunk, site)
	z.gate.take(site)
}

// note notes that a task of a chunk is in a zone.
func (z *zones) note(chunk int, site string) {
	if z.j.main.Spec.Together && z.zone == "" {
		z.zone = site
	}
	g, _ := z.j.main.Group(chunk)
	if z.count[g] == nil {
		z.count[g] = map[string]int{}
	}
	z.count[g][site]++
}

// ok tells whether a task of a chunk may go to a zone.
func (z *zones) ok(chunk int, site string) bool {
	r := &z.j.main.Spec
	if !z.gate.admits(site) {
		return false
	}
	if r.Together && z.zone != "" && z.zone != site {
		return false
	}
	g, n := z.j.main.Group(chunk)
	return !r.Spread || z.count[g][site] < (n+1)/2
}
