package autoscaler

import (
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/catalog"
	"violetturn/internal/cloud"
	"violetturn/internal/numeric"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// ScaleInReview is one run of the periodic check that cordons machines. Idle and underused machines
// are evaluated against a placement plan for all machines, which is the most expensive computation
// of a controller. The plan is therefore made at most once, and only if the evaluation of a machine
// requires it.
type ScaleInReview struct {
	autoscaler         *Autoscaler
	now                time.Time
	remainingHosts     []*sched.Host            // all machines, with the capacity that remains after the plan; nil: not planned yet
	replicaHostsByZone map[string][]*sched.Host // those of remainingHosts that hold service replicas, by zone
	headroomHosts      map[string]bool          // idle machines that the headroom needs
	reservedHosts      map[string]bool          // machines reserved until a gang has all of its capacity
}

// NewReview returns a review that has evaluated no machine.
func (a *Autoscaler) NewReview(now time.Time) *ScaleInReview {
	return &ScaleInReview{autoscaler: a, now: now}
}

// Evaluate cordons a machine if it is to be returned to the cloud once it is empty.
func (r *ScaleInReview) Evaluate(host string, machine *shard.Machine, worker *agent.Agent) {
	_, machineType := r.autoscaler.catalog.MachineCapacity(machine.MachineType)
	if machineType == nil || worker.Cordoned {
		return
	}
	switch {
	case !worker.Fenced():
		r.evaluateUnfenced(host, machine, machineType, worker)
	case worker.LeaseExpired:
		r.evaluateExpired(host, worker)
	case r.isBusy(host, worker):
		r.evaluateBusy(host, bootDuration(machineType), worker)
	default:
		r.evaluateIdle(host, machine, machineType, worker)
	}
}

func bootDuration(machineType *cloud.MachineType) time.Duration {
	return numeric.Duration(machineType.BootS)
}

// cordon excludes a machine from new placements and wakes the decision loop.
func (r *ScaleInReview) cordon(host string, worker *agent.Agent, reason string) {
	worker.Cordoned = true
	r.autoscaler.node.Log.Info("machine cordoned", "host", host, "why", reason)
	r.autoscaler.wake.Notify()
}

// evaluateUnfenced cordons a machine whose worker has sent no heartbeat under this term, although
// the machine had time to boot and this leader has led its shard for long enough to receive a
// response to a fence. The age of the machine alone does not suffice, because the machine may have
// been running under an earlier leader. The boot time counts from registration, so that a machine
// lost under an earlier leader does not get a second boot time.
func (r *ScaleInReview) evaluateUnfenced(host string, machine *shard.Machine, machineType *cloud.MachineType, worker *agent.Agent) {
	settings := r.autoscaler.node.Settings
	age := machine.Age(r.now)
	termAge := r.now.Sub(worker.CreatedAt)
	if age > 4*bootDuration(machineType)+settings.WorkerLease() && termAge > 2*settings.WorkerLeaseBound() {
		r.cordon(host, worker, "never came up, or silent since before the shard was acquired")
	}
}

// evaluateExpired cordons a machine whose worker's lease expired long ago and that has sent no
// heartbeat for as long. A worker that has just started may be fenced before any of its heartbeats
// was answered; the limit then counts from its response to the fence, which sets LastSeen.
func (r *ScaleInReview) evaluateExpired(host string, worker *agent.Agent) {
	silenceLimit := 2 * r.autoscaler.node.Settings.WorkerLeaseBound()
	if r.now.Sub(worker.LastAnswered) > silenceLimit && r.now.Sub(worker.LastSeen) > silenceLimit {
		r.cordon(host, worker, "silent for long")
	}
}

// isBusy reports whether a machine has unfinished tasks, by its placements or by its worker's
// heartbeat.
func (r *ScaleInReview) isBusy(host string, worker *agent.Agent) bool {
	if r.autoscaler.capacityCalculator.UnfinishedTasks(host) > 0 {
		return true
	}
	isUnfinished := func(task api.TaskState) bool { return task.Phase != api.TaskEnded }
	return worker.Heartbeat != nil && slices.ContainsFunc(worker.Heartbeat.Tasks, isUnfinished)
}

// evaluateBusy cordons a machine that holds only a few service replicas, once reviews have found for
// two boot times that they fit on other machines. At most one machine is cordoned this way per boot
// time.
func (r *ScaleInReview) evaluateBusy(host string, boot time.Duration, worker *agent.Agent) {
	worker.IdleSince = time.Time{}
	if !r.canMigrateReplicas(host, boot) {
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

// evaluateIdle cordons a machine that has been idle for longer than the policy keeps it, unless the
// headroom or a gang needs it. It does not cordon machines in a zone that is down or recovering:
// they are idle because their capacity is reserved or the zone does not admit all jobs yet, and they
// will be needed soon.
func (r *ScaleInReview) evaluateIdle(host string, machine *shard.Machine, machineType *cloud.MachineType, worker *agent.Agent) {
	if worker.IdleSince.IsZero() {
		worker.IdleSince = r.now
	}
	if r.autoscaler.zones.RestrictedZoneRecord(machine.Zone, r.now) != nil {
		return
	}
	price := catalog.PriceOf(machineType, machine.Spot)
	idleLimitSeconds := r.autoscaler.node.Policy.IdleSeconds(machineType.BootS, price, machine.Spot)
	if r.now.Sub(worker.IdleSince).Seconds() > idleLimitSeconds && !r.isNeededWhileIdle(host) {
		r.cordon(host, worker, "idle")
	}
}

// planRemainingHosts returns all machines with the capacity that remains after a placement plan. It
// makes the plan on its first call.
func (r *ScaleInReview) planRemainingHosts() []*sched.Host {
	if r.remainingHosts == nil {
		plan := r.autoscaler.scheduler.Plan(r.now)
		r.remainingHosts, r.reservedHosts = plan.RemainingHosts, plan.ReservedHosts
	}
	return r.remainingHosts
}

// isNeededWhileIdle reports whether an idle machine is part of the headroom, or reserved for a gang
// that does not have all of its capacity yet.
func (r *ScaleInReview) isNeededWhileIdle(host string) bool {
	if r.headroomHosts == nil {
		r.headroomHosts = r.autoscaler.headroomHosts(r.planRemainingHosts(), r.now)
	}
	return r.headroomHosts[host] || r.reservedHosts[host]
}

// canMigrateReplicas reports whether a machine holds only service replicas, which need at most half
// of its capacity, were placed at least one boot time ago, and fit on other machines that hold
// replicas and have their images. It returns false for a machine that the headroom or a gang needs.
// Moving the replicas takes seconds and saves a machine.
func (r *ScaleInReview) canMigrateReplicas(host string, boot time.Duration) bool {
	a := r.autoscaler
	machine := a.cache.Machines[host]
	machineCapacity, _ := a.catalog.MachineCapacity(machine.MachineType)
	used := sched.Resources{}
	for _, task := range a.cache.Placements[host] {
		job := a.cache.Jobs[task.UID]
		if job == nil || job.Record.Cancelled || task.Placement.Stopping || job.Record.Spec.Kind != api.Service {
			return false
		}
		if r.now.Sub(job.PlacedAt(task)) < boot {
			return false
		}
		used = used.Add(statecache.ResourcesOf(&job.Record.Spec))
	}
	if !machineCapacity.Fits(used.Scale(2)) {
		return false
	}
	var requests []sched.TaskRequest
	for _, task := range a.cache.Placements[host] {
		requests = append(requests, statecache.TaskRequestOf(&a.cache.Jobs[task.UID].Record.Spec))
	}
	return r.fitsElsewhere(host, machine.Zone, requests) && !r.isNeededWhileIdle(host)
}

// hostsWithReplicas returns the machines of a zone that hold service replicas.
func (r *ScaleInReview) hostsWithReplicas(zone string) []*sched.Host {
	if r.replicaHostsByZone == nil {
		r.replicaHostsByZone = map[string][]*sched.Host{}
		for _, host := range r.planRemainingHosts() {
			if host.ServiceTasks > 0 {
				r.replicaHostsByZone[host.Zone] = append(r.replicaHostsByZone[host.Zone], host)
			}
		}
	}
	return r.replicaHostsByZone[zone]
}

// fitsElsewhere reports whether all tasks fit on other machines of the zone that hold replicas and
// have the tasks' images. It changes the hosts during the check and restores them before it
// returns.
func (r *ScaleInReview) fitsElsewhere(hostName, zone string, requests []sched.TaskRequest) bool {
	hosts := r.hostsWithReplicas(zone)
	var originals []sched.Host // copies of the modified hosts, in the order of the changes
	var modified []*sched.Host
	setFree := func(host *sched.Host, free sched.Resources) {
		originals, modified = append(originals, *host), append(modified, host)
		host.Free = free
	}
	defer func() {
		for i := len(modified) - 1; i >= 0; i-- {
			*modified[i] = originals[i]
		}
	}()
	for _, host := range hosts {
		if host.Name == hostName {
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
