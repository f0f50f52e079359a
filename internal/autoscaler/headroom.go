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
	"violetturn/internal/zonestate"
)

// HeadroomRequest is room to be kept for a class of jobs, by zone if they are spread, and the
// priority of the work that it is kept for.
type HeadroomRequest struct {
	class    string
	priority int
	requests []sched.UnmetDemand
}

// tasks counts the tasks that room is kept for.
func (h *HeadroomRequest) tasks() int {
	count := 0
	for i := range h.requests {
		count += h.requests[i].Count
	}
	return count
}

// classDemand is what came lately of a class of jobs.
type classDemand struct {
	class        string
	arrivals     []capacity.Arrival // all that are remembered, the oldest first
	newest       *api.Job           // nil: none came lately
	sumOfSquares float64            // of the numbers of tasks of those that came lately
}

// newClassDemand sums up what came of a class in the last few boots.
func newClassDemand(class string, arrivals []capacity.Arrival, boot time.Duration, now time.Time) classDemand {
	demand := classDemand{class: class, arrivals: arrivals}
	for _, arrival := range arrivals {
		if now.Sub(arrival.AcceptedAt) < capacity.ArrivalWindowBoots*boot {
			demand.sumOfSquares += arrival.Tasks * arrival.Tasks
			demand.newest = arrival.Spec
		}
	}
	return demand
}

// fluctuation returns by how many tasks what comes during a boot fluctuates.
func (d *classDemand) fluctuation() float64 {
	return math.Sqrt(d.sumOfSquares / capacity.ArrivalWindowBoots)
}

// headroom returns which tasks to keep room for that have not come yet: of classes
// whose jobs can't wait for a machine to boot, as many as arrivals fluctuate by
// while one does. What ends in that time makes room for the average.
func (a *Autoscaler) headroom(now time.Time) []HeadroomRequest {
	boot := a.catalog.ShortestBoot()
	if boot == 0 {
		return nil
	}
	admission := a.zones.Admission(now)
	var requests []HeadroomRequest
	for class, arrivals := range a.accounts.Arrivals().ByClass() {
		demand := newClassDemand(class, arrivals, boot, now)
		if demand.newest == nil {
			continue
		}
		keep := a.policyHeadroom(&demand, boot)
		if keep == 0 {
			continue
		}
		tasks := int(math.Ceil(max(keep, a.growth(&demand, boot, now))))
		allowed := a.zones.AdmissionForSpec(demand.newest, admission)
		requests = append(requests, a.newHeadroomRequest(class, demand.newest, tasks, allowed))
	}
	return requests
}

// policyHeadroom returns for how many tasks of a class the policy keeps room; 0 for none.
func (a *Autoscaler) policyHeadroom(demand *classDemand, boot time.Duration) float64 {
	spec := demand.newest
	priority := spec.Priority.Level()
	slack := min(a.estimates.WaitingSlack(demand.class, spec, a.catalog.FetchSeconds(spec)), estimate.UnlimitedSeconds)
	variables := config.JobVariables{
		Class:    demand.class,
		Team:     spec.Team,
		Kind:     spec.Kind.String(),
		Priority: priority,
		Slack:    slack,
		Tasks:    spec.Tasks,
		GPUs:     spec.GPUs,
		CPUs:     spec.CPUs,
	}
	return a.node.Policy.Headroom(variables, demand.fluctuation(), boot.Seconds(), slack)
}

// newHeadroomRequest asks for room for tasks like those of a job, but not in a zone that is closed
// to work below production (allowed, nil if none is). Each zone takes its share of a spread job.
func (a *Autoscaler) newHeadroomRequest(class string, spec *api.Job, tasks int, allowed *zonestate.JobAdmission) HeadroomRequest {
	priority := spec.Priority.Level()
	headroom := HeadroomRequest{class: class, priority: priority}
	request := statecache.TaskRequestOf(spec)
	if allowed != nil {
		request.ZoneAllowed = allowed.Admits
	}
	if !spec.Spread {
		headroom.requests = []sched.UnmetDemand{{Request: request, Count: tasks}}
		return headroom
	}
	zones := a.node.Settings.Facts.Zones
	for _, zone := range zones {
		if request.Zone == "" || request.Zone == zone {
			inZone := request
			inZone.Zone = zone
			share := (tasks + len(zones) - 1) / len(zones)
			headroom.requests = append(headroom.requests, sched.UnmetDemand{Request: inZone, Count: share})
		}
	}
	return headroom
}

// minJobsForRate is from how many jobs on their rate says something.
const minJobsForRate = 8

// growth returns by how many tasks a class's arrays will outgrow the room that their running
// tasks leave while a machine boots: at the start of a day, or when more come
// than before, whoever waits for them to find no room rents a boot too late. The
// rate is that of the newer half of what was seen, so that what came at once in
// the beginning does not count.
func (a *Autoscaler) growth(demand *classDemand, boot time.Duration, now time.Time) float64 {
	arrivals := demand.arrivals
	if len(arrivals) == 0 || arrivals[len(arrivals)-1].Spec.Kind != api.Array {
		return 0
	}
	half := min(now.Sub(arrivals[0].AcceptedAt), capacity.ArrivalWindowBoots*boot) / 2
	jobs, tasks := 0, 0.0
	for _, arrival := range arrivals {
		if now.Sub(arrival.AcceptedAt) < half {
			jobs++
			tasks += arrival.Tasks
		}
	}
	if jobs < minJobsForRate || half < boot/8 {
		return 0
	}
	expected := tasks / half.Seconds() * boot.Seconds()
	return max(expected-float64(a.countEnding(demand.class, boot, now)), 0)
}

// countEnding counts the running tasks of a class that are expected to end while a machine boots.
func (a *Autoscaler) countEnding(class string, boot time.Duration, now time.Time) int {
	ending := 0
	for _, tasks := range a.cache.Placements {
		for _, task := range tasks {
			job := a.cache.Jobs[task.UID]
			if job == nil || job.Record.Spec.Class != class {
				continue
			}
			ran := now.Sub(time.UnixMilli(job.PlacedAtMS(task)))
			if (ran + boot).Seconds() > a.estimates.EstimatedRuntime(&job.Record.Spec) {
				ending++
			}
		}
	}
	return ending
}

// headroomMachines returns the idle machines that belong to the headroom: what is to be
// kept room for takes them after it has filled the others. It uses up the machines' room.
func (a *Autoscaler) headroomMachines(hosts []*sched.Host, now time.Time) map[string]bool {
	machines := map[string]bool{}
	for _, headroom := range a.headroom(now) {
		room := a.room.WithPreemptibleCapacity(hosts, headroom.priority)
		for _, demand := range headroom.requests {
			ranking := sched.NewRanking(nil, room, &demand.Request)
			for range demand.Count {
				host := ranking.Best(nil)
				if host == nil {
					break
				}
				host.Free = host.Free.Sub(demand.Request.Need)
				if host.ServiceTasks+host.ArrayTasks == 0 {
					machines[host.Name] = true
				}
			}
		}
	}
	return machines
}
