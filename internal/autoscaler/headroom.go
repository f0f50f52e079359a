package autoscaler

import (
	"math"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/config"
	"violetturn/internal/estimate"
	"violetturn/internal/numeric"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// HeadroomRequest is the capacity to keep free for one class of jobs, divided by zone if its jobs
// are spread over zones, with the priority of those jobs.
type HeadroomRequest struct {
	class    string
	priority int
	demands  []sched.UnmetDemand
}

// taskCount returns the number of tasks to keep capacity for.
func (h *HeadroomRequest) taskCount() int {
	count := 0
	for i := range h.demands {
		count += h.demands[i].Count
	}
	return count
}

// classDemand describes the recent arrivals of one class of jobs.
type classDemand struct {
	class             string
	arrivals          []capacity.Arrival // all recorded arrivals, oldest first
	newestSpec        *api.Job           // specification of the newest recent arrival; nil: no recent arrival
	sumOfSquaredTasks float64            // sum of the squared task counts of the recent arrivals
}

// newClassDemand summarizes the arrivals of a class during the last capacity.ArrivalWindowBoots
// boot times.
func newClassDemand(class string, arrivals []capacity.Arrival, boot time.Duration, now time.Time) classDemand {
	demand := classDemand{class: class, arrivals: arrivals}
	for _, arrival := range arrivals {
		if now.Sub(arrival.AcceptedAt) < capacity.ArrivalWindowBoots*boot {
			demand.sumOfSquaredTasks += arrival.Tasks * arrival.Tasks
			demand.newestSpec = arrival.Spec
		}
	}
	return demand
}

// deviation estimates the standard deviation of the number of tasks that arrive during one boot
// time.
func (d *classDemand) deviation() float64 {
	return math.Sqrt(d.sumOfSquaredTasks / capacity.ArrivalWindowBoots)
}

// headroomRequests returns the capacity to keep free for tasks that have not arrived yet. Classes
// whose jobs cannot wait for a machine to boot get capacity for the deviation of arrivals during
// one boot time, as the policy specifies, or for their expected growth if that is larger. No
// capacity is kept for the average number of arrivals, because tasks that end in that time free it.
func (a *Autoscaler) headroomRequests(now time.Time) []HeadroomRequest {
	boot := a.catalog.ShortestBoot()
	if boot == 0 {
		return nil
	}
	admission := a.zones.Admission(now)
	var requests []HeadroomRequest
	for class, arrivals := range a.accounting.Arrivals().ByClass() {
		demand := newClassDemand(class, arrivals, boot, now)
		if demand.newestSpec == nil {
			continue
		}
		policyTasks := a.policyHeadroom(&demand, boot)
		if policyTasks == 0 {
			continue
		}
		tasks := numeric.Int(math.Ceil(max(policyTasks, a.expectedGrowth(&demand, boot, now))))
		jobAdmission := a.zones.AdmissionForSpec(demand.newestSpec, admission)
		requests = append(requests, a.newHeadroomRequest(class, demand.newestSpec, tasks, jobAdmission))
	}
	return requests
}

// policyHeadroom returns the number of tasks of a class that the policy keeps capacity for; 0 for
// none.
func (a *Autoscaler) policyHeadroom(demand *classDemand, boot time.Duration) float64 {
	spec := demand.newestSpec
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
	return a.node.Policy.Headroom(variables, demand.deviation(), boot.Seconds(), slack)
}

// newHeadroomRequest requests capacity for a number of tasks like those of a job, except in zones
// that are closed to jobs below production priority; admission is nil if no zone is. For a job that
// is spread over zones, the tasks are divided equally among the zones.
func (a *Autoscaler) newHeadroomRequest(class string, spec *api.Job, tasks int, admission *zonestate.JobAdmission) HeadroomRequest {
	priority := spec.Priority.Level()
	headroom := HeadroomRequest{class: class, priority: priority}
	taskRequest := statecache.TaskRequestOf(spec)
	if admission != nil {
		taskRequest.ZoneAllowed = admission.Admits
	}
	if !spec.Spread {
		headroom.demands = []sched.UnmetDemand{{Request: taskRequest, Count: tasks}}
		return headroom
	}
	zones := a.node.Settings.Facts.Zones
	for _, zone := range zones {
		if taskRequest.Zone == "" || taskRequest.Zone == zone {
			zoneRequest := taskRequest
			zoneRequest.Zone = zone
			tasksPerZone := (tasks + len(zones) - 1) / len(zones)
			headroom.demands = append(headroom.demands, sched.UnmetDemand{Request: zoneRequest, Count: tasksPerZone})
		}
	}
	return headroom
}

// minJobsForRate is the minimum number of jobs from which an arrival rate is computed.
const minJobsForRate = 8

// expectedGrowth returns by how many tasks the array jobs of a class are expected to exceed, during
// one boot time, the capacity that their running tasks free. At the start of a day, or when the
// arrival rate rises, renting only once tasks fail to fit would be one boot time too late. The rate
// is that of the newer half of the observed period, so that a burst at its beginning does not
// count.
func (a *Autoscaler) expectedGrowth(demand *classDemand, boot time.Duration, now time.Time) float64 {
	arrivals := demand.arrivals
	if len(arrivals) == 0 || arrivals[len(arrivals)-1].Spec.Kind != api.Array {
		return 0
	}
	window := min(now.Sub(arrivals[0].AcceptedAt), capacity.ArrivalWindowBoots*boot) / 2
	jobs, tasks := 0, 0.0
	for _, arrival := range arrivals {
		if now.Sub(arrival.AcceptedAt) < window {
			jobs++
			tasks += arrival.Tasks
		}
	}
	if jobs < minJobsForRate || window < boot/8 {
		return 0
	}
	expectedTasks := tasks / window.Seconds() * boot.Seconds()
	return max(expectedTasks-float64(a.countEndingTasks(demand.class, boot, now)), 0)
}

// countEndingTasks counts the running tasks of a class that are expected to end within one boot
// time.
func (a *Autoscaler) countEndingTasks(class string, boot time.Duration, now time.Time) int {
	ending := 0
	for _, tasks := range a.cache.Placements {
		for _, task := range tasks {
			job := a.cache.Jobs[task.UID]
			if job == nil || job.Record.Spec.Class != class {
				continue
			}
			elapsed := now.Sub(job.PlacedAt(task))
			if (elapsed + boot).Seconds() > a.estimates.EstimatedRuntime(&job.Record.Spec) {
				ending++
			}
		}
	}
	return ending
}

// headroomHosts returns the idle machines that the headroom needs: those to which its tasks
// would be assigned once the capacity of machines in use is exhausted. The tasks of each class are
// assigned to copies of the hosts, so the hosts do not change, and the same capacity may be
// assigned to several classes.
func (a *Autoscaler) headroomHosts(hosts []*sched.Host, now time.Time) map[string]bool {
	idleHosts := map[string]bool{}
	for _, headroom := range a.headroomRequests(now) {
		candidates := a.capacityCalculator.WithPreemptibleCapacity(hosts, headroom.priority)
		for _, demand := range headroom.demands {
			ranking := sched.NewRanking(nil, candidates, &demand.Request)
			for range demand.Count {
				host := ranking.Best(nil)
				if host == nil {
					break
				}
				host.Free = host.Free.Sub(demand.Request.Need)
				if host.ServiceTasks+host.OtherTasks == 0 {
					idleHosts[host.Name] = true
				}
			}
		}
	}
	return idleHosts
}
