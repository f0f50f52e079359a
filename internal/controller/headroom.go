package controller

import (
	"math"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/sched"
)

// arrival is a job that came.
type arrival struct {
	at    time.Time
	spec  *api.Job
	tasks float64 // tasks
}

// unlimitedSeconds stands for a slack without end in expressions.
const unlimitedSeconds = 1e9

// arrivalWindows is over how many boots arrivals are looked at.
const arrivalWindows = 4

// noteArrival notes a job for the headroom.
func (acc *capacityAccounts) noteArrival(m *job.Record) {
	const lanes = 64
	if acc.arrivals[m.Spec.Class] == nil && len(acc.arrivals) >= lanes {
		clear(acc.arrivals) // users may name classes at will
	}
	l := append(acc.arrivals[m.Spec.Class], arrival{time.UnixMilli(m.AcceptedMS), &m.Spec, float64(m.Spec.Tasks)})
	if len(l) > acc.maxArrivals() {
		l = l[1:]
	}
	acc.arrivals[m.Spec.Class] = l
}

// headroomRequest is room to be kept for a class of jobs, by zone if they are spread, and the
// rank of the work it is kept for.
type headroomRequest struct {
	class    string
	priority int
	requests []sched.UnmetDemand
}

// tasks counts the tasks that room is kept for.
func (w *headroomRequest) tasks() int {
	n := 0
	for _, u := range w.requests {
		n += u.Count
	}
	return n
}

// withPreemptibleRoom returns copies of the machines with the room of tasks of a lower rank
// added to what is free: that need not be kept, it can be taken when needed.
func (mr *machineRoom) withPreemptibleRoom(hosts []*sched.Host, priority int) []*sched.Host {
	room := make([]sched.Host, len(hosts))
	out := make([]*sched.Host, len(hosts))
	for i, h := range hosts {
		room[i] = *h
		l := mr.loadOf(h.Name)
		for r := priority + 1; r < len(l.runningByPriority); r++ {
			room[i].Free = room[i].Free.Add(l.runningByPriority[r])
		}
		out[i] = &room[i]
	}
	return out
}

// shortestBoot is how long the soonest machine takes to boot.
func (c *machineCatalog) shortestBoot() time.Duration {
	startup := 0.0
	for _, f := range c.machineTypes {
		if startup == 0 || f.BootS < startup {
			startup = f.BootS
		}
	}
	return time.Duration(startup * float64(time.Second))
}

// headroom returns which tasks to keep room for that have not come yet: of classes
// whose jobs can't wait for a machine to boot, as many as arrivals fluctuate by
// while one does. What ends in that time makes room for the average.
func (as *autoscalerState) headroom(now time.Time) []headroomRequest {
	boot := as.catalog.shortestBoot()
	if boot == 0 {
		return nil
	}
	startup := boot.Seconds()
	admission := as.zones.admission(now)
	var out []headroomRequest
	for class, l := range as.capacity.arrivals {
		squares := 0.0
		var last *api.Job
		for _, a := range l {
			if age := now.Sub(a.at); age < arrivalWindows*boot {
				squares += a.tasks * a.tasks
				last = a.spec
			}
		}
		if last == nil {
			continue
		}
		priority, _ := api.PriorityOf(last.Priority)
		slack := as.estimates.waitingSlack(class, last, as.catalog.fetchSeconds(last))
		w := config.JobVariables{
			Class:    class,
			Team:     last.Team,
			Kind:     last.Kind,
			Priority: priority,
			Slack:    min(slack, unlimitedSeconds),
			Tasks:    last.Tasks,
			GPUs:     last.GPUs,
			CPUs:     last.CPUs,
		}
		keep := as.node.policy.Headroom(w, math.Sqrt(squares/arrivalWindows), startup, min(slack, unlimitedSeconds))
		if keep == 0 {
			continue
		}
		n := int(math.Ceil(max(keep, as.growth(class, l, boot, arrivalWindows*boot, now))))
		ask := taskRequestOf(last)
		if gate := as.zones.admissionOfSpec(last, admission); gate != nil {
			ask.ZoneAllowed = gate.admits // no headroom below production in a zone that is closed to it
		}
		if !last.Spread {
			out = append(out, headroomRequest{class, priority, []sched.UnmetDemand{{Request: ask, Count: n}}})
			continue
		}
		zones := as.node.settings.Facts.Zones
		byZone := headroomRequest{class: class, priority: priority}
		for _, zone := range zones { // each zone takes its share of a spread job
			if ask.Zone == "" || ask.Zone == zone {
				a := ask
				a.Zone = zone
				byZone.requests = append(byZone.requests, sched.UnmetDemand{Request: a, Count: (n + len(zones) - 1) / len(zones)})
			}
		}
		out = append(out, byZone)
	}
	return out
}

// growth is by how much a class's arrays will outgrow the room that their running
// tasks leave while a machine boots: at the start of a day, or when more come
// than before, whoever waits for them to find no room rents a boot too late. The
// rate is that of the newer half of what was seen, so that what came at once in
// the beginning does not count.
func (as *autoscalerState) growth(class string, l []arrival, boot, window time.Duration, now time.Time) float64 {
	if len(l) == 0 || l[len(l)-1].spec.Kind != api.Array {
		return 0
	}
	half := min(now.Sub(l[0].at), window) / 2
	jobs, tasks := 0, 0.0
	for _, a := range l {
		if now.Sub(a.at) < half {
			jobs++
			tasks += a.tasks
		}
	}
	const few = 8 // jobs from which on a rate says something
	if jobs < few || half < boot/8 {
		return 0
	}
	grow := tasks / half.Seconds() * boot.Seconds()
	for _, on := range as.cache.placements {
		for _, pl := range on {
			j := as.cache.jobs[pl.uid]
			if j == nil || j.record.Spec.Class != class {
				continue
			}
			ran := now.Sub(time.UnixMilli(placedAtMS(j, pl)))
			if (ran + boot).Seconds() > as.estimates.estimatedRuntime(&j.record.Spec) {
				grow--
			}
		}
	}
	return max(grow, 0)
}

// waitingSlack is how long a job of the class can wait before it misses its aim, when
// fetching its image takes so many seconds.
func (e *runEstimates) waitingSlack(class string, r *api.Job, fetch float64) float64 {
	s := math.Inf(1)
	if r.DeadlineS != nil {
		s = *r.DeadlineS - r.EstimateS - fetch
	}
	for _, o := range e.node.settings.Facts.Objectives {
		if o.Class != class {
			continue
		}
		switch o.Kind {
		case "wait":
			s = min(s, o.WithinS-fetch)
		case "finished":
			s = min(s, o.WithinS-fetch-r.EstimateS)
		}
	}
	if team, ok := e.node.settings.Team(r.Team); ok && (team.CPUs > 0 || team.GPUs > 0) {
		s = min(s, 2*e.node.settings.HeartbeatInterval().Seconds()) // work within a guarantee need not wait
	}
	return s
}

// headroomMachines returns the idle machines that belong to the headroom: what is to be
// kept room for takes them after it has filled the others.
func (as *autoscalerState) headroomMachines(left []*sched.Host, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, w := range as.headroom(now) {
		room := as.room.withPreemptibleRoom(left, w.priority)
		for _, u := range w.requests {
			ranking := sched.Rank(nil, room, &u.Request)
			for range u.Count {
				h := ranking.Best(nil)
				if h == nil {
					break
				}
				h.Free = h.Free.Sub(u.Request.Need)
				if h.Services+h.Arrays == 0 {
					out[h.Name] = true
				}
			}
		}
	}
	return out
}
