package controller

import (
	"violetturn/internal/cloud"
	"violetturn/internal/sched"
)

// mostUnmet bounds the tasks of one job that room is sought for among what others have:
// each is held against many machines. What is beyond is rented for all the same.
const mostUnmet = 256

// rentAhead is how many machines a round of rentals may ask for, and as many tasks beyond
// what is coming are looked at.
const rentAhead = callsARound * cloud.MaxRental

// bound sets the tasks aside that are more than room is sought for.
func (l *waitingJob) bound() {
	if len(l.tasks) > mostUnmet {
		l.tasks, l.beyond = l.tasks[:mostUnmet], l.tasks[mostUnmet:]
	}
}

// rentable gives as many of the tasks set aside as the machines that are coming take, and
// some more to be rented for: or a large job on an empty fleet would have its first tasks
// meet the coming machines, and wait for them to boot before more are rented.
func (p *planner) rentable(l *waitingJob) []task {
	if len(l.beyond) <= rentAhead {
		return l.beyond
	}
	coming := sched.Slots(p.c.coming(p.now, false), &l.ask, len(l.beyond))
	return l.beyond[:min(len(l.beyond), coming+rentAhead)]
}

// lackRoom notes tasks that lack room. Who rents for them asks for each in turn, with the
// zones that those before it leave.
func (p *planner) lackRoom(l *waitingJob, left []task) {
	unmet := sched.Unmet{Ask: l.ask, Count: len(left)}
	p.out.all = append(p.out.all, unmet)
	next := 0
	unmet.Ask.ZoneOK = func(site string) bool { return next >= len(left) || l.z.ok(left[next].chunk, site) }
	unmet.Placed = func(site string) {
		l.z.add(left[next].chunk, site)
		next++
	}
	p.out.unmet = append(p.out.unmet, unmet)
}
