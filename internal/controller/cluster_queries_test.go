package controller

import (
	"fmt"
	"slices"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// isDone returns a function that reports whether a user is told that a job is done.
func (s *testCluster) isDone(id string) func() bool {
	return func() bool {
		s.poll(1, id)
		return s.environment.Jobs[id].FinalPhase == api.JobDone
	}
}

// tasksInPhaseByHost counts the tasks of a job in a phase, as their workers say, by machine.
func (s *testCluster) tasksInPhaseByHost(id string, phase api.TaskPhase) map[string]int {
	on := map[string]int{}
	for h, x := range s.environment.Cloud.WorkersByHost {
		for _, t := range x.Heartbeat().Tasks {
			if uid, _, _ := api.SplitTaskName(t.Task); uid == id && t.Phase == phase {
				on[h]++
			}
		}
	}
	return on
}

// runningTasksByHost counts the running tasks of a job by machine.
func (s *testCluster) runningTasksByHost(id string) map[string]int {
	return s.tasksInPhaseByHost(id, api.TaskRunning)
}

// tasksInPhase counts the tasks of a job in a phase, as their workers say.
func (s *testCluster) tasksInPhase(id string, phase api.TaskPhase) int {
	n := 0
	for _, tasks := range s.tasksInPhaseByHost(id, phase) {
		n += tasks
	}
	return n
}

// runningTasks counts the running tasks of a job.
func (s *testCluster) runningTasks(id string) int { return s.tasksInPhase(id, api.TaskRunning) }

// presentTasks counts the tasks of a job that take room on machines.
func (s *testCluster) presentTasks(id string) int {
	n := 0
	for _, x := range s.environment.Cloud.WorkersByHost {
		for _, uid := range x.UnfinishedTaskJobs() {
			if uid == id {
				n++
			}
		}
	}
	return n
}

// workerOf returns a machine that has a task of the job, or nil.
func (s *testCluster) workerOf(id string) *simulator.Worker {
	for _, x := range s.environment.Cloud.Workers() {
		for _, t := range x.Heartbeat().Tasks {
			if uid, _, _ := api.SplitTaskName(t.Task); uid == id {
				return x
			}
		}
	}
	return nil
}

// leaderOf returns the name of the node that leads a shard and may act, "" if none does.
func (s *testCluster) leaderOf(shard string) string {
	for _, n := range s.nodes {
		if n.running && n.state().Leadership.Leads(shard) && n.state().Leadership.MayAct(n.controller.node.Now()) {
			return n.name
		}
	}
	return ""
}

// nodeOf returns the index of the node of a name.
func (s *testCluster) nodeOf(name string) int {
	return slices.IndexFunc(s.nodes, func(n *testNode) bool { return n.name == name })
}

// preferredLeaderOf returns the node after which a machine's shard is named.
func (s *testCluster) preferredLeaderOf(host string) int {
	return s.nodeOf(s.nodes[0].state().Cache.Machines[host].Shard)
}

// leaderOfJob returns the node that leads the shard of a machine with a running task of a
// job, and another node.
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
	t.Fatalf("nobody leads the shard of %s", uid)
	return 0, 0
}

// describeJob returns what the first controller knows of a job.
func (s *testCluster) describeJob(uid string) string {
	cache := s.nodes[0].state().Cache
	out := ""
	if j := cache.Jobs[uid]; j != nil {
		out = fmt.Sprintf("job %s", api.MustMarshal(j.Record))
		for n, r := range j.Ranges {
			out += fmt.Sprintf(" range %d %s", n, api.MustMarshal(r.Record))
		}
	}
	for t, u := range cache.Quotas {
		out += fmt.Sprintf(" team %s %s", t, api.MustMarshal(u.Record))
	}
	for _, id := range s.nodes[0].controller.node.Shards {
		out += fmt.Sprintf(" shard %s %s leader %s", id, api.MustMarshal(cache.Capacities[id].Record),
			api.MustMarshal(cache.Leaders[id].Record))
	}
	for h, m := range cache.Machines {
		x := s.environment.Cloud.WorkersByHost[h]
		out += fmt.Sprintf(" host %s %s there %t up %t", h, api.MustMarshal(m), x != nil, x != nil && x.Booted())
	}
	for _, n := range s.nodes {
		p := n.state().Scheduler.Plan(n.controller.node.Now())
		out += fmt.Sprintf(
			" %s: unmet %d offers %v machine types %d",
			n.name, len(p.UnmetDemand), n.state().Catalog.AvailableOffers(n.controller.node.Now()), len(n.state().Catalog.MachineTypes()),
		)
	}
	return out
}
