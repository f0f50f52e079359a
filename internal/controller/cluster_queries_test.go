package controller

import (
	"fmt"
	"slices"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// isDone returns a function that polls a job and reports whether the response says that it is
// done.
func (s *testCluster) isDone(id string) func() bool {
	return func() bool {
		s.poll(1, id)
		return s.environment.Jobs[id].FinalPhase == api.JobDone
	}
}

// tasksInPhaseByHost counts the tasks of a job in a phase by machine, as workers report them.
func (s *testCluster) tasksInPhaseByHost(id string, phase api.TaskPhase) map[string]int {
	counts := map[string]int{}
	for host, worker := range s.environment.Cloud.WorkersByHost {
		for _, t := range worker.Heartbeat().Tasks {
			if uid, _, _ := api.SplitTaskName(t.Task); uid == id && t.Phase == phase {
				counts[host]++
			}
		}
	}
	return counts
}

// runningTasksByHost counts the running tasks of a job by machine.
func (s *testCluster) runningTasksByHost(id string) map[string]int {
	return s.tasksInPhaseByHost(id, api.TaskRunning)
}

// tasksInPhase counts the tasks of a job in a phase, as workers report them.
func (s *testCluster) tasksInPhase(id string, phase api.TaskPhase) int {
	n := 0
	for _, tasks := range s.tasksInPhaseByHost(id, phase) {
		n += tasks
	}
	return n
}

// runningTasks counts the running tasks of a job.
func (s *testCluster) runningTasks(id string) int { return s.tasksInPhase(id, api.TaskRunning) }

// presentTasks counts the tasks of a job that use capacity of machines.
func (s *testCluster) presentTasks(id string) int {
	n := 0
	for _, worker := range s.environment.Cloud.WorkersByHost {
		for _, uid := range worker.UnfinishedTaskJobs() {
			if uid == id {
				n++
			}
		}
	}
	return n
}

// workerOf returns a worker that has a task of the job, or nil.
func (s *testCluster) workerOf(id string) *simulator.Worker {
	for _, worker := range s.environment.Cloud.Workers() {
		for _, t := range worker.Heartbeat().Tasks {
			if uid, _, _ := api.SplitTaskName(t.Task); uid == id {
				return worker
			}
		}
	}
	return nil
}

// leaderOf returns the name of the controller that leads a shard and may act for it, or "" if there
// is none.
func (s *testCluster) leaderOf(shardID string) string {
	for _, n := range s.nodes {
		if n.running && n.state().Leadership.Leads(shardID) && n.state().Leadership.MayAct(n.controller.node.Now()) {
			return n.name
		}
	}
	return ""
}

// nodeOf returns the index of the controller with a name.
func (s *testCluster) nodeOf(name string) int {
	return slices.IndexFunc(s.nodes, func(n *testNode) bool { return n.name == name })
}

// preferredLeaderOf returns the index of the preferred leader of a machine's shard: the controller
// after which the shard is named.
func (s *testCluster) preferredLeaderOf(host string) int {
	return s.nodeOf(s.nodes[0].state().Cache.Machines[host].Shard)
}

// leaderOfJob returns the index of the controller that leads the shard of a machine with a running
// task of a job, and the index of another controller.
func (s *testCluster) leaderOfJob(t fataler, uid string) (leader, other int) {
	t.Helper()
	for h := range s.runningTasksByHost(uid) {
		m := s.nodes[0].state().Cache.Machines[h]
		for i, n := range s.nodes {
			if n.state().Leadership.Leads(m.Shard) {
				return i, (i + 1) % len(s.nodes)
			}
		}
	}
	t.Fatalf("no shard with a running task of %s has a leader, want one", uid)
	return 0, 0
}

// describeJob describes a job, and the state of the cluster that matters for its placement, as
// cached by the first controller. It is for failure messages.
func (s *testCluster) describeJob(uid string) string {
	cache := s.nodes[0].state().Cache
	description := ""
	if j := cache.Jobs[uid]; j != nil {
		description = fmt.Sprintf("job %s", api.MustMarshal(j.Record))
		for n, r := range j.Ranges {
			description += fmt.Sprintf(" range %d %s", n, api.MustMarshal(r.Record))
		}
	}
	for team, quota := range cache.Quotas {
		description += fmt.Sprintf(" team %s %s", team, api.MustMarshal(quota.Record))
	}
	for _, id := range s.nodes[0].controller.node.Shards {
		description += fmt.Sprintf(" shard %s %s leader %s", id, api.MustMarshal(cache.Capacities[id].Record),
			api.MustMarshal(cache.Leaders[id].Record))
	}
	for host, machine := range cache.Machines {
		worker := s.environment.Cloud.WorkersByHost[host]
		description += fmt.Sprintf(" machine %s %s exists %t booted %t", host, api.MustMarshal(machine), worker != nil,
			worker != nil && worker.Booted())
	}
	for _, n := range s.nodes {
		plan := n.state().Scheduler.Plan(n.controller.node.Now())
		description += fmt.Sprintf(
			" %s: unmet demand %d offers %v machine types %d",
			n.name, len(plan.UnmetDemand),
			n.state().Catalog.AvailableOffers(n.controller.node.Now()), len(n.state().Catalog.MachineTypes()),
		)
	}
	return description
}
