package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/simulator"
)

const (
	loopbackReplicas      = 6 // replicas of all services that are bound to zone x
	loopbackArrayCount    = 4 // number of arrays bound to zone x
	loopbackTasksPerArray = 8 // tasks of each array
	loopbackWaitTimeout   = 90 * time.Second
)

// loopbackDeployment returns a small deployment with short heartbeat intervals and worker leases.
func loopbackDeployment() *simulator.Deployment {
	return &simulator.Deployment{
		Name: "loopback", HeartbeatIntervalS: 0.5, LeaseS: 4, CancelTimeoutS: 24, BootTime: 6 * time.Second,
		FetchTime:   500 * time.Millisecond,
		MachineType: simulator.MachineType{Name: "m", CPUs: 12, GPUs: 2, MemGB: 96},
		StateLimits: config.StateLimits{RPS: 300, WriteRPS: 100, ValueKB: 8, TxnOps: 16},
	}
}

// zoneTaskStart records the start of a task in zone x.
type zoneTaskStart struct {
	startedAt  time.Time
	uid        string
	host       string
	isReplica  bool
	arrayTasks int // tasks of arrays present in the zone at that time
}

// zoneCluster runs three controllers as processes, with simulated workers in three zones.
type zoneCluster struct {
	*cluster
	t             *testing.T
	programFile   string
	settingsFiles []string
	featuresFile  string
	processes     []*exec.Cmd
	jobUIDs       []string        // IDs of all jobs
	serviceUIDs   []string        // IDs of the services in zone x
	taskStarts    []zoneTaskStart // guarded by the server's lock
}

// newZoneCluster starts the controllers, workers and simulated services of a zone cluster.
func newZoneCluster(t *testing.T) *zoneCluster {
	t.Helper()
	z := &zoneCluster{t: t, cluster: newCluster(t, loopbackDeployment()), processes: make([]*exec.Cmd, controllerCount)}
	dir := t.TempDir()
	z.programFile = filepath.Join(dir, "violetturn")
	if out, err := exec.Command("go", "build", "-o", z.programFile, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	z.featuresFile = filepath.Join(dir, "features.toml")
	if err := os.WriteFile(z.featuresFile, []byte("[zone_recovery]\nenabled = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	z.settingsFiles = z.writeSettings(dir)
	z.server.WithLock(func(env *simulator.Environment) {
		env.ListLag = time.Second
		env.OnTaskStarted = func(worker *simulator.Worker, uid string) {
			if worker.Zone == "x" {
				z.taskStarts = append(
					z.taskStarts, zoneTaskStart{env.Now, uid, worker.Host, env.Jobs[uid].Spec.Kind == api.Service, arrayTasksInX(env)},
				)
			}
		}
	})
	for i := range z.processes {
		z.startController(i)
	}
	t.Cleanup(z.stopAll)
	z.runPeriodically(50*time.Millisecond, z.server.Tick)
	z.simulateWorkers()
	return z
}

// arrayTasksInX returns the number of tasks of arrays present in zone x.
func arrayTasksInX(env *simulator.Environment) (n int) {
	for _, worker := range env.Cloud.Workers() {
		if worker.Zone != "x" {
			continue
		}
		for _, uid := range worker.UnfinishedTaskJobs() {
			if env.Jobs[uid].Spec.Kind == api.Array {
				n++
			}
		}
	}
	return n
}

// startController starts controller i, which logs to its own file.
func (z *zoneCluster) startController(i int) {
	z.t.Helper()
	name := filepath.Join(filepath.Dir(z.programFile), fmt.Sprintf("n%d.log", i))
	log, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		z.t.Fatal(err)
	}
	p := exec.Command(z.programFile, "--features", z.featuresFile, "--config", z.settingsFiles[i])
	p.Stderr = log
	if err := p.Start(); err != nil {
		z.t.Fatal(err)
	}
	z.processes[i] = p
}

// killController kills controller i, which therefore doesn't shut down cleanly.
func (z *zoneCluster) killController(i int) {
	_ = z.processes[i].Process.Kill() // fails if the process has already exited
	_ = z.processes[i].Wait()         // returns an error because the process was killed
}

// stopAll kills all controllers. If the test has failed, it prints the lines of their logs about
// zones, shards and placements.
func (z *zoneCluster) stopAll() {
	for i := range z.processes {
		z.killController(i)
	}
	close(z.stop)
	z.running.Wait()
	if !z.t.Failed() {
		return
	}
	for i := range z.processes {
		raw, err := os.ReadFile(filepath.Join(filepath.Dir(z.programFile), fmt.Sprintf("n%d.log", i)))
		if err != nil {
			z.t.Error(err)
		}
		for _, line := range strings.Split(string(raw), "\n") {
			contains := func(substring string) bool { return strings.Contains(line, substring) }
			if slices.ContainsFunc([]string{"msg=zone ", "shard ", "task placed", "cordoned"}, contains) {
				z.t.Log(fmt.Sprintf("n%d ", i) + line)
			}
		}
	}
}

// submit submits an array, which change can modify or turn into another job, until a controller
// accepts it. It returns the job's ID.
func (z *zoneCluster) submit(change func(*api.Job), runTime time.Duration) string {
	z.t.Helper()
	job := api.Job{
		UID: fmt.Sprintf("run-%06d", len(z.jobUIDs)), Class: "array", Team: "a", Kind: api.Array, Priority: "idle",
		Tasks: loopbackTasksPerArray, CPUs: 4, GPUs: 1, MemGB: 29, Image: "array", ImageGB: 1, Zone: "x",
	}
	change(&job)
	z.jobUIDs = append(z.jobUIDs, job.UID)
	z.server.WithLock(func(env *simulator.Environment) {
		env.Jobs[job.UID] = &simulator.Job{Spec: job, RunTime: runTime, DoneTasks: map[int]bool{}}
	})
	z.waitFor(job.UID+" is accepted", func() bool {
		status, body := z.sendRequest(z.randomBelow(controllerCount), "POST", "/v2/runs", simulator.Submission(&job))
		z.checkResponse(job.UID, status, body, true)
		return status == 200 || status == 201
	})
	return job.UID
}

// checkResponse lets the simulator check the response that a user got, and returns the job's phase.
func (z *zoneCluster) checkResponse(uid string, status int, body []byte, submission bool) (phase api.JobPhase) {
	var state struct {
		Phase api.JobPhase `json:"phase"`
	}
	_ = json.Unmarshal(body, &state) // a response without a phase leaves it empty
	z.server.WithLock(func(env *simulator.Environment) { env.CheckUserResponse(uid, status, state.Phase, submission) })
	return state.Phase
}

// waitFor polls until a condition holds. It fails the test after loopbackWaitTimeout; shorter times
// are not checked.
func (z *zoneCluster) waitFor(what string, condition func() bool) {
	z.t.Helper()
	for deadline := time.Now().Add(loopbackWaitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	z.t.Fatalf("condition %q not met within %v", what, loopbackWaitTimeout)
}

// runningReplicas returns the number of replicas of services running on reachable machines of zone x.
func (z *zoneCluster) runningReplicas() int { return z.runningTasksInX(z.serviceUIDs...) }

// runningTasksInX returns the number of tasks of the given jobs running on reachable machines of
// zone x.
func (z *zoneCluster) runningTasksInX(uids ...string) (n int) {
	z.server.WithLock(func(env *simulator.Environment) {
		for _, worker := range env.Cloud.Workers() {
			for _, task := range worker.Heartbeat().Tasks {
				uid, _, _ := api.SplitTaskName(task.Task)
				if worker.Zone == "x" && !worker.Partitioned && slices.Contains(uids, uid) && task.Phase == api.TaskRunning {
					n++
				}
			}
		}
	})
	return n
}

// machinesInX returns the machines of zone x: those that run a replica of a service, and the others.
func (z *zoneCluster) machinesInX() (serviceMachines, otherMachines []*simulator.Worker) {
	z.server.WithLock(func(env *simulator.Environment) {
		for _, worker := range env.Cloud.Workers() {
			if worker.Zone != "x" {
				continue
			}
			if present := worker.UnfinishedTaskJobs(); len(present) > 0 && env.Jobs[present[0]].Spec.Kind == api.Service {
				serviceMachines = append(serviceMachines, worker)
			} else {
				otherMachines = append(otherMachines, worker)
			}
		}
	})
	return serviceMachines, otherMachines
}

// setPartitioned partitions machines from the network, or ends the partition.
func (z *zoneCluster) setPartitioned(machines []*simulator.Worker, partitioned bool) {
	z.server.WithLock(func(*simulator.Environment) {
		for _, worker := range machines {
			worker.Partitioned = partitioned
		}
	})
}

// terminate terminates machines permanently.
func (z *zoneCluster) terminate(machines []*simulator.Worker) {
	z.server.WithLock(func(env *simulator.Environment) {
		for _, worker := range machines {
			env.Cloud.Terminate(worker.Host)
		}
	})
}

// zoneStateIs returns a condition that reports whether the record of zone x has the given state.
func (z *zoneCluster) zoneStateIs(state string) func() bool {
	return func() (is bool) {
		z.server.WithLock(func(env *simulator.Environment) {
			for _, item := range env.Store.Items("live/z/x") {
				is = strings.Contains(string(item.Value), `"s":"`+state+`"`)
			}
		})
		return is
	}
}

// checkServicesStartFirst checks the task starts since machines returned to an empty zone: until the
// last replica of the services started, arrays never had more tasks in the zone at a time than the
// returned machines have capacity for in addition to the replicas.
func (z *zoneCluster) checkServicesStartFirst(when string, since time.Time, returnedMachines int) {
	z.t.Helper()
	z.server.WithLock(func(*simulator.Environment) {
		startedReplicas, maxArrayTasks := 0, 0
		for _, start := range z.taskStarts {
			switch {
			case start.startedAt.Before(since):
			case start.isReplica:
				startedReplicas++
			case startedReplicas < loopbackReplicas:
				maxArrayTasks = max(maxArrayTasks, start.arrayTasks)
			}
		}
		if allowed := max(2*returnedMachines-loopbackReplicas, 0); maxArrayTasks > allowed {
			z.t.Errorf("%s: %d array tasks ran before the last replica started, want at most %d", when, maxArrayTasks, allowed)
			for _, start := range z.taskStarts {
				z.t.Logf("%v: %s on %s, replica %t, %d array tasks in the zone",
					start.startedAt.Sub(since), start.uid, start.host, start.isReplica, start.arrayTasks)
			}
		}
		z.t.Logf("%s: %d replicas started, at most %d array tasks ran before the last of them", when, startedReplicas, maxArrayTasks)
	})
}

// simulatedTime returns the current time of the simulator.
func (z *zoneCluster) simulatedTime() (now time.Time) {
	z.server.WithLock(func(env *simulator.Environment) { now = env.Now })
	return now
}

// Production services must restart before arrays when a zone returns. Three controllers run as
// processes, with simulated workers in three zones. Zone x fails together with its controller, a part
// of it returns, and it fails again twice before it returns for good. All arrays must be done in the
// end, and no rule may be violated.
//
// Everything runs on one machine over loopback with worker leases of four seconds, so the test
// checks only the order of task starts, never durations.
func TestZoneReturnsOnLoopback(t *testing.T) {
	z := newZoneCluster(t)
	arrays := z.startJobs()
	z.server.WithLock(func(env *simulator.Environment) { env.Cloud.NoCapacity = true })
	z.failAndReturnPartly()
	z.failRepeatedly()
	for _, uid := range arrays {
		z.waitFor(uid+" is done", func() bool {
			status, body := z.sendRequest(z.randomBelow(controllerCount), "GET", "/v2/runs/"+uid, nil)
			return z.checkResponse(uid, status, body, false) == api.JobDone
		})
	}
	z.server.WithLock(func(env *simulator.Environment) {
		for _, violation := range env.Violations {
			t.Error(violation)
		}
	})
}

// startJobs submits services in all zones and arrays in zone x, and waits until those in zone x run.
// It returns the arrays' IDs.
func (z *zoneCluster) startJobs() (arrays []string) {
	serviceJob := func(zone string, tasks int) func(*api.Job) {
		return func(j *api.Job) {
			j.Class, j.Kind, j.Priority, j.Tasks, j.Zone, j.Image = "service", api.Service, "production", tasks, zone, "reader"
		}
	}
	z.submit(serviceJob("y", 6), 0)
	z.submit(serviceJob("z", 6), 0)
	for range 2 {
		z.serviceUIDs = append(z.serviceUIDs, z.submit(serviceJob("x", loopbackReplicas/2), 0))
	}
	z.waitFor("all replicas run", func() bool { return z.runningReplicas() == loopbackReplicas })
	for range loopbackArrayCount {
		arrays = append(arrays, z.submit(func(*api.Job) {}, 8*time.Second))
	}
	z.waitFor("arrays run as well as the replicas", func() bool { return z.runningTasksInX(arrays...) >= 2*loopbackTasksPerArray })
	return arrays
}

// failAndReturnPartly partitions zone x and kills its controller. Then the controller and five
// machines that ran no replica return.
func (z *zoneCluster) failAndReturnPartly() {
	serviceMachines, otherMachines := z.machinesInX()
	z.killController(0)
	z.setPartitioned(serviceMachines, true)
	z.setPartitioned(otherMachines, true)
	z.waitFor("the zone is down", z.zoneStateIs("down"))
	z.waitEmpty(append(serviceMachines, otherMachines...))
	const returning = 5
	z.terminate(append(serviceMachines, otherMachines[returning:]...))
	returned := z.simulatedTime()
	z.setPartitioned(otherMachines[:returning], false)
	z.startController(0)
	z.waitFor("all replicas run again", func() bool { return z.runningReplicas() == loopbackReplicas })
	z.checkServicesStartFirst("part returned", returned, returning)
}

// waitEmpty waits until no task runs on the given machines, except on those that were terminated.
func (z *zoneCluster) waitEmpty(machines []*simulator.Worker) {
	z.waitFor("no task runs on the partitioned machines", func() (none bool) {
		z.server.WithLock(func(env *simulator.Environment) {
			none = !slices.ContainsFunc(env.Cloud.Workers(), func(worker *simulator.Worker) bool {
				return slices.Contains(machines, worker) && len(worker.UnfinishedTaskJobs()) > 0
			})
		})
		return none
	})
}

// failRepeatedly partitions zone x, ends the partition briefly, and partitions the zone again until
// no task runs there. Then the zone returns for good, and the cloud can replace terminated machines.
// The order of starts is checked only by failAndReturnPartly: here it depends on how many machines
// were terminated.
func (z *zoneCluster) failRepeatedly() {
	serviceMachines, otherMachines := z.machinesInX()
	all := append(serviceMachines, otherMachines...)
	z.setPartitioned(all, true)
	z.waitFor("the zone is down again", z.zoneStateIs("down"))
	z.setPartitioned(all, false)
	z.waitFor("the zone returns", func() bool { return !z.zoneStateIs("down")() })
	z.setPartitioned(all, true)
	z.waitEmpty(all)
	z.setPartitioned(all, false)
	z.server.WithLock(func(env *simulator.Environment) { env.Cloud.NoCapacity = false })
	z.waitFor("all replicas run again", func() bool { return z.runningReplicas() == loopbackReplicas })
}
