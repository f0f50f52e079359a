package autoscaler

import (
	"math"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/config"
	"violetturn/internal/estimate"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// HeadroomRequest is room to be kept for a class of jobs, by zone if they are spread, and the
// rank of the work it is kept for.
type HeadroomRequest struct {
	class    string
	priority int
	requests []sched.UnmetDemand
}

// tasks counts the tasks that room is kept for.
func (w *HeadroomRequest) tasks() int {
	n := 0
	for _, u := range w.requests {
		n += u.Count
	}
	return n
}

// headroom returns which tasks to keep room for that have not come yet: of classes
// whose jobs can't wait for a machine to boot, as many as arrivals fluctuate by
// while one does. What ends in that time makes room for the average.
func (as *Autoscaler) headroom(now time.Time) []HeadroomRequest {
	boot := as.catalog.ShortestBoot()
	if boot == 0 {
		return nil
	}
	startup := boot.Seconds()
	admission := as.zones.Admission(now)
	var out []HeadroomRequest
	for class, l := range as.capacity.Arrivals {
		squares := 0.0
		var last *api.Job
		for _, a := range l {
			if age := now.Sub(a.At); age < capacity.ArrivalWindows*boot {
				squares += a.Tasks * a.Tasks
				last = a.Spec
			}
		}
		if last == nil {
			continue
		}
		priority, _ := api.PriorityOf(last.Priority)
		slack := as.estimates.WaitingSlack(class, last, as.catalog.FetchSeconds(last))
		w := config.JobVariables{
			Class:    class,
			Team:     last.Team,
			Kind:     last.Kind,
			Priority: priority,
			Slack:    min(slack, estimate.UnlimitedSeconds),
			Tasks:    last.Tasks,
			GPUs:     last.GPUs,
			CPUs:     last.CPUs,
		}
		keep := as.node.Policy.Headroom(w, math.Sqrt(squares/capacity.ArrivalWindows), startup, min(slack, estimate.UnlimitedSeconds))
		if keep == 0 {
			continue
		}
		n := int(math.Ceil(max(keep, as.growth(class, l, boot, capacity.ArrivalWindows*boot, now))))
		ask := statecache.TaskRequestOf(last)
		if gate := as.zones.AdmissionOfSpec(last, admission); gate != nil {
			ask.ZoneAllowed = gate.Admits // no headroom below production in a zone that is closed to it
		}
		if !last.Spread {
			out = append(out, HeadroomRequest{class, priority, []sched.UnmetDemand{{Request: ask, Count: n}}})
			continue
		}
		zones := as.node.Settings.Facts.Zones
		byZone := HeadroomRequest{class: class, priority: priority}
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
func (as *Autoscaler) growth(class string, l []capacity.Arrival, boot, window time.Duration, now time.Time) float64 {
	if len(l) == 0 || l[len(l)-1].Spec.Kind != api.Array {
		return 0
	}
	half := min(now.Sub(l[0].At), window) / 2
	jobs, tasks := 0, 0.0
	for _, a := range l {
		if now.Sub(a.At) < half {
			jobs++
			tasks += a.Tasks
		}
	}
	const few = 8 // jobs from which on a rate says something
	if jobs < few || half < boot/8 {
		return 0
	}
	grow := tasks / half.Seconds() * boot.Seconds()
	for _, on := range as.cache.Placements {
		for _, pl := range on {
			j := as.cache.Jobs[pl.UID]
			if j == nil || j.Record.Spec.Class != class {
				continue
			}
			ran := now.Sub(time.UnixMilli(j.PlacedAtMS(pl)))
			if (ran + boot).Seconds() > as.estimates.EstimatedRuntime(&j.Record.Spec) {
				grow--
			}
		}
	}
	return max(grow, 0)
}

// headroomMachines returns the idle machines that belong to the headroom: what is to be
// kept room for takes them after it has filled the others.
func (as *Autoscaler) headroomMachines(left []*sched.Host, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, w := range as.headroom(now) {
		room := as.room.WithPreemptibleRoom(left, w.priority)
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
