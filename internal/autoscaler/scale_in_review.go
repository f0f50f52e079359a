package autoscaler

import (
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/catalog"
	"violetturn/internal/cloud"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// ScaleInReview is a round of reviewing which machines are to be cordoned. What is idle or
// underused is judged against a plan of all machines, the most expensive computation of a
// controller: it is made once, if one of the machines asks for it.
type ScaleInReview struct {
	autoscaler   *Autoscaler
	now          time.Time
	hosts        []*sched.Host            // with the room that is left after what is to be placed
	replicaHosts map[string][]*sched.Host // by zone, those of them with replicas
	headroom     map[string]bool          // idle ones that the headroom needs
	reserved     map[string]bool          // those that wait for the rest of a gang's room
}

// NewReview begins a round.
func (a *Autoscaler) NewReview(now time.Time) *ScaleInReview {
	return &ScaleInReview{autoscaler: a, now: now}
}

// Evaluate decides whether a machine is to be cordoned, so that it is returned once it is empty.
func (r *ScaleInReview) Evaluate(host string, machine *shard.Machine, worker *agent.Agent) {
	_, machineType := r.autoscaler.catalog.MachineCapacity(machine.MachineType)
	if machineType == nil || worker.Cordoned {
		return
	}
	switch {
	case !worker.Fenced():
		r.considerUnheard(host, machine, machineType, worker)
	case worker.LeaseExpired:
		r.considerSilent(host, worker)
	case r.isBusy(host, worker):
		r.considerBusy(host, bootOf(machineType), worker)
	default:
		r.considerIdle(host, machine, machineType, worker)
	}
}

func bootOf(machineType *cloud.MachineType) time.Duration {
	return time.Duration(machineType.BootS * float64(time.Second))
}

// cordon keeps new tasks from a machine.
func (r *ScaleInReview) cordon(host string, worker *agent.Agent, why string) {
	worker.Cordoned = true
	r.autoscaler.node.Log.Info("machine cordoned", "host", host, "why", why)
	r.autoscaler.wake.Notify()
}

// considerUnheard cordons a machine whose worker was never heard under this leader. It has had
// time to boot, and since this leader acquired the shard time to answer a fence: what an earlier
// leader waited says nothing of a machine that came up under it, but one that was lost under it
// must not be given the time of a whole boot once more.
func (r *ScaleInReview) considerUnheard(host string, machine *shard.Machine, machineType *cloud.MachineType, worker *agent.Agent) {
	settings := r.autoscaler.node.Settings
	age := r.now.Sub(time.UnixMilli(machine.RegisteredMS))
	led := r.now.Sub(worker.CreatedAt)
	if age > 4*bootOf(machineType)+settings.WorkerLease() && led > 2*settings.WorkerLeaseBound() {
		r.cordon(host, worker, "never came up, or silent since before the shard was acquired")
	}
}

// considerSilent cordons a machine whose worker's lease has expired long ago. One that is just up
// may be fenced before its first heartbeat was ever answered: it counts from the fence.
func (r *ScaleInReview) considerSilent(host string, worker *agent.Agent) {
	patience := 2 * r.autoscaler.node.Settings.WorkerLeaseBound()
	if r.now.Sub(worker.LastAnswered) > patience && r.now.Sub(worker.LastSeen) > patience {
		r.cordon(host, worker, "silent for long")
	}
}

// isBusy reports whether a machine has tasks that have not ended, by what is placed there or by
// its worker's heartbeat.
func (r *ScaleInReview) isBusy(host string, worker *agent.Agent) bool {
	if r.autoscaler.room.UnfinishedTasks(host) > 0 {
		return true
	}
	running := func(task api.TaskState) bool { return task.Phase != api.TaskEnded }
	return worker.Heartbeat != nil && slices.ContainsFunc(worker.Heartbeat.Tasks, running)
}

// considerBusy cordons a machine with nothing but a few replicas once they have fit elsewhere for
// a while, one machine in the time of a boot.
func (r *ScaleInReview) considerBusy(host string, boot time.Duration, worker *agent.Agent) {
	worker.IdleSince = time.Time{}
	if !r.canMigrate(host, boot) {
		worker.UnderusedSince = time.Time{}
		return
	}
	if worker.UnderusedSince.IsZero() {
		worker.UnderusedSince = r.now
		return
	}
	if r.now.Sub(worker.UnderusedSince) > 2*boot && r.now.Sub(r.autoscaler.migratedAt) > boot {
		r.autoscaler.migratedAt = r.now
		r.cordon(host, worker, "its replicas fit elsewhere")
	}
}

// considerIdle cordons a machine that has been idle for as long as the policy keeps it, unless the
// headroom or a gang needs it. In a zone that is down or recovering it is idle because room is
// kept, or work held back, that will want it soon.
func (r *ScaleInReview) considerIdle(host string, machine *shard.Machine, machineType *cloud.MachineType, worker *agent.Agent) {
	if worker.IdleSince.IsZero() {
		worker.IdleSince = r.now
	}
	if r.autoscaler.zones.RestrictedZoneRecord(machine.Zone, r.now) != nil {
		return
	}
	price := catalog.PriceOf(machineType, machine.Spot)
	patience := r.autoscaler.node.Policy.IdleSeconds(machineType.BootS, price, machine.Spot)
	if r.now.Sub(worker.IdleSince).Seconds() > patience && !r.isNeededIdle(host) {
		r.cordon(host, worker, "idle")
	}
}

// remaining returns the machines with the room that a plan leaves.
func (r *ScaleInReview) remaining() []*sched.Host {
	if r.hosts == nil {
		plan := r.autoscaler.scheduler.Plan(r.now)
		r.hosts, r.reserved = plan.RemainingHosts, plan.ReservedHosts
	}
	return r.hosts
}

// isNeededIdle reports whether a machine belongs to the headroom, or its room waits for the rest
// of a gang's.
func (r *ScaleInReview) isNeededIdle(host string) bool {
	if r.headroom == nil {
		r.headroom = r.autoscaler.headroomMachines(r.remaining(), r.now)
	}
	return r.headroom[host] || r.reserved[host]
}

// canMigrate reports whether a machine holds nothing but a few replicas that have run
// for a while and fit on machines in use elsewhere that have their images, so
// that moving them costs seconds and saves a machine.
func (r *ScaleInReview) canMigrate(host string, boot time.Duration) bool {
	a := r.autoscaler
	machine := a.cache.Machines[host]
	size, _ := a.catalog.MachineCapacity(machine.MachineType)
	used := sched.Resources{}
	for _, task := range a.cache.Placements[host] {
		job := a.cache.Jobs[task.UID]
		if job == nil || job.Record.Cancelled || task.Placement.Stopping || job.Record.Spec.Kind != api.Service {
			return false
		}
		placedAt := time.UnixMilli(job.Record.AcceptedMS).Add(time.Duration(task.Placement.PlacedS) * time.Second)
		if r.now.Sub(placedAt) < boot {
			return false
		}
		used = used.Add(statecache.ResourcesOf(&job.Record.Spec))
	}
	if !size.Fits(used.Scale(2)) {
		return false
	}
	var requests []sched.TaskRequest
	for _, task := range a.cache.Placements[host] {
		requests = append(requests, statecache.TaskRequestOf(&a.cache.Jobs[task.UID].Record.Spec))
	}
	return r.fitElsewhere(host, machine.Zone, requests) && !r.isNeededIdle(host)
}

// hostsWithReplicas returns the machines with replicas in a zone.
func (r *ScaleInReview) hostsWithReplicas(zone string) []*sched.Host {
	if r.replicaHosts == nil {
		r.replicaHosts = map[string][]*sched.Host{}
		for _, host := range r.remaining() {
			if host.ServiceTasks > 0 {
				r.replicaHosts[host.Zone] = append(r.replicaHosts[host.Zone], host)
			}
		}
	}
	return r.replicaHosts[zone]
}

// fitElsewhere reports whether the tasks would all fit on other machines with replicas in
// the zone that have their images. It leaves the machines as they were.
func (r *ScaleInReview) fitElsewhere(name, zone string, requests []sched.TaskRequest) bool {
	hosts := r.hostsWithReplicas(zone)
	var before []sched.Host // as they were, with what was tried on them
	var tried []*sched.Host
	setFree := func(host *sched.Host, free sched.Resources) {
		before, tried = append(before, *host), append(tried, host)
		host.Free = free
	}
	defer func() {
		for i := len(tried) - 1; i >= 0; i-- {
			*tried[i] = before[i]
		}
	}()
	for _, host := range hosts {
		if host.Name == name {
			setFree(host, sched.Resources{})
		}
	}
	for i := range requests {
		request := &requests[i]
		host := sched.FullestFit(hosts, request)
		if host == nil || !host.Images[request.Image] {
			return false
		}
		setFree(host, host.Free.Sub(request.Need))
	}
	return true
}
