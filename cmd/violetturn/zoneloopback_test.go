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
	loopbackReaders = 6 // tasks of services bound to zone x
	loopbackArrays  = 4 // arrays bound to zone x
	loopbackTasks   = 8 // of each of them
	loopbackWait    = 90 * time.Second
)

// loopbackDeployment is small, and its workers report and are given up soon.
func loopbackDeployment() *simulator.Deployment {
	return &simulator.Deployment{
		Name: "loopback", HeartbeatS: 0.5, LeaseS: 4, CancelS: 24, BootTime: 6 * time.Second, FetchTime: 500 * time.Millisecond,
		MachineType: simulator.MachineType{Name: "m", CPUs: 12, GPUs: 2, MemGB: 96},
		State:       config.StateLimits{RPS: 300, WriteRPS: 100, ValueKB: 8, TxnOps: 16},
	}
}

// startInX is a task that started in zone x.
type startInX struct {
	at     time.Time
	uid    string
	host   string
	reader bool
	arrays int // tasks of arrays that were in the zone at that moment
}

// zoneCluster is three controllers as processes, with simulated service workers in three zones.
type zoneCluster struct {
	*cluster
	t         *testing.T
	program   string
	files     []string
	features  string
	processes []*exec.Cmd
	uids      []string   // of all jobs
	readers   []string   // of them, the services in zone x
	history   []startInX // guarded by the server's lock
}

// newZoneCluster starts the controllers, workers and services of a zone cluster.
func newZoneCluster(t *testing.T) *zoneCluster {
	t.Helper()
	z := &zoneCluster{t: t, cluster: newCluster(t, loopbackDeployment()), processes: make([]*exec.Cmd, processNodes)}
	dir := t.TempDir()
	z.program = filepath.Join(dir, "violetturn")
	if out, err := exec.Command("go", "build", "-o", z.program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	z.features = filepath.Join(dir, "features.toml")
	if err := os.WriteFile(z.features, []byte("[zone_recovery]\nenabled = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	z.files = z.writeSettings(dir)
	z.server.WithLock(func(w *simulator.Environment) {
		w.ListLag = time.Second
		w.OnTaskStarted = func(x *simulator.Worker, uid string) {
			if x.Zone == "x" {
				z.history = append(z.history, startInX{w.Now, uid, x.Host, w.Jobs[uid].Spec.Kind == api.Service, arraysInX(w)})
			}
		}
	})
	for i := range z.processes {
		z.start(i)
	}
	t.Cleanup(z.end)
	z.every(50*time.Millisecond, z.server.Tick)
	z.playWorkers()
	return z
}

// arraysInX counts the tasks of arrays in zone x.
func arraysInX(w *simulator.Environment) (n int) {
	for _, x := range w.Cloud.Workers() {
		if x.Zone != "x" {
			continue
		}
		for _, uid := range x.UnfinishedTaskJobs() {
			if w.Jobs[uid].Spec.Kind == api.Array {
				n++
			}
		}
	}
	return n
}

// start starts a controller, which logs into a file of its own.
func (z *zoneCluster) start(i int) {
	z.t.Helper()
	name := filepath.Join(filepath.Dir(z.program), fmt.Sprintf("n%d.log", i))
	log, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		z.t.Fatal(err)
	}
	p := exec.Command(z.program, "--features", z.features, "--config", z.files[i])
	p.Stderr = log
	if err := p.Start(); err != nil {
		z.t.Fatal(err)
	}
	z.processes[i] = p
}

// kill ends a controller without a word.
func (z *zoneCluster) kill(i int) {
	_ = z.processes[i].Process.Kill() // it may have ended
	_ = z.processes[i].Wait()         // and says that it was killed
}

// end ends all processes, and shows what the controllers logged if the test failed.
func (z *zoneCluster) end() {
	for i := range z.processes {
		z.kill(i)
	}
	close(z.stop)
	z.running.Wait()
	if !z.t.Failed() {
		return
	}
	for i := range z.processes {
		raw, err := os.ReadFile(filepath.Join(filepath.Dir(z.program), fmt.Sprintf("n%d.log", i)))
		if err != nil {
			z.t.Error(err)
		}
		for _, line := range strings.Split(string(raw), "\n") {
			told := func(what string) bool { return strings.Contains(line, what) }
			if slices.ContainsFunc([]string{"msg=zone ", "shard ", "task placed", "cordoned"}, told) {
				z.t.Log(fmt.Sprintf("n%d ", i) + line)
			}
		}
	}
}

// submit submits a job until a controller accepts it.
func (z *zoneCluster) submit(change func(*api.Job), runTime time.Duration) string {
	z.t.Helper()
	job := api.Job{
		UID: fmt.Sprintf("run-%06d", len(z.uids)), Class: "array", Team: "a", Kind: api.Array, Priority: "idle", Tasks: loopbackTasks,
		CPUs: 4, GPUs: 1, MemGB: 29, Image: "array", ImageGB: 1, Zone: "x",
	}
	change(&job)
	z.uids = append(z.uids, job.UID)
	z.server.WithLock(func(w *simulator.Environment) {
		w.Jobs[job.UID] = &simulator.Job{Spec: job, RunTime: runTime, DoneTasks: map[int]bool{}}
	})
	z.wait(job.UID+" is accepted", func() bool {
		status, body := z.send(z.randomBelow(processNodes), "POST", "/v2/runs", simulator.Submission(&job))
		z.checkAnswer(job.UID, status, body, true)
		return status == 200 || status == 201
	})
	return job.UID
}

// checkAnswer has the world check what a user was told, and returns the phase.
func (z *zoneCluster) checkAnswer(uid string, status int, body []byte, submission bool) (phase api.JobPhase) {
	var a struct {
		Phase api.JobPhase `json:"phase"`
	}
	_ = json.Unmarshal(body, &a) // an answer without a phase has none
	z.server.WithLock(func(w *simulator.Environment) { w.CheckUserResponse(uid, status, a.Phase, submission) })
	return a.Phase
}

// wait asks again until something is so. How long it takes is not judged.
func (z *zoneCluster) wait(what string, ok func() bool) {
	z.t.Helper()
	for end := time.Now().Add(loopbackWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	z.t.Fatalf("%s: not within %v", what, loopbackWait)
}

// readersUp counts the readers' tasks that run in zone x on machines that can be reached.
func (z *zoneCluster) readersUp() int { return z.runningInX(z.readers...) }

// runningInX counts the tasks of jobs that run in zone x on machines that can be reached.
func (z *zoneCluster) runningInX(uids ...string) (n int) {
	z.server.WithLock(func(w *simulator.Environment) {
		for _, x := range w.Cloud.Workers() {
			for _, task := range x.Heartbeat().Tasks {
				uid, _, _ := api.SplitTaskName(task.Task)
				if x.Zone == "x" && !x.Partitioned && slices.Contains(uids, uid) && task.Phase == api.TaskRunning {
					n++
				}
			}
		}
	})
	return n
}

// machines lists the machines of zone x, those with readers first.
func (z *zoneCluster) machines() (withReaders, others []*simulator.Worker) {
	z.server.WithLock(func(w *simulator.Environment) {
		for _, x := range w.Cloud.Workers() {
			if x.Zone != "x" {
				continue
			}
			if present := x.UnfinishedTaskJobs(); len(present) > 0 && w.Jobs[present[0]].Spec.Kind == api.Service {
				withReaders = append(withReaders, x)
			} else {
				others = append(others, x)
			}
		}
	})
	return withReaders, others
}

// partition cuts machines off from the network, or ends that.
func (z *zoneCluster) partition(machines []*simulator.Worker, cutOff bool) {
	z.server.WithLock(func(*simulator.Environment) {
		for _, x := range machines {
			x.Partitioned = cutOff
		}
	})
}

// terminate has machines end for good.
func (z *zoneCluster) terminate(machines []*simulator.Worker) {
	z.server.WithLock(func(w *simulator.Environment) {
		for _, x := range machines {
			w.Cloud.Terminate(x.Host)
		}
	})
}

// zoneIs reports whether the zone's record has a state.
func (z *zoneCluster) zoneIs(state string) func() bool {
	return func() (is bool) {
		z.server.WithLock(func(w *simulator.Environment) {
			for _, item := range w.Store.Items("live/z/x") {
				is = strings.Contains(string(item.Value), `"s":"`+state+`"`)
			}
		})
		return is
	}
}

// checkReadersFirst checks the history since a return to an empty zone: until the last of
// the readers started, arrays never had more tasks there at a time than the machines that
// returned take beside the readers.
func (z *zoneCluster) checkReadersFirst(when string, since time.Time, machines int) {
	z.t.Helper()
	z.server.WithLock(func(*simulator.Environment) {
		readers, most := 0, 0
		for _, s := range z.history {
			switch {
			case s.at.Before(since):
			case s.reader:
				readers++
			case readers < loopbackReaders:
				most = max(most, s.arrays)
			}
		}
		if beside := max(2*machines-loopbackReaders, 0); most > beside {
			z.t.Errorf("%s: %d tasks of arrays ran before the readers, with room for %d beside them", when, most, beside)
			for _, s := range z.history {
				z.t.Logf("%v %s on %s, reader %t, %d of arrays", s.at.Sub(since), s.uid, s.host, s.reader, s.arrays)
			}
		}
		z.t.Logf("%s: %d readers' tasks started, at most %d of arrays ran before the last", when, readers, most)
	})
}

// now is the world's time.
func (z *zoneCluster) now() (now time.Time) {
	z.server.WithLock(func(w *simulator.Environment) { now = w.Now })
	return now
}

// Three controllers as processes, simulated service workers in three zones: zone x with its
// controller is killed, a part of it returns, it flaps, and then it stays. The readers come
// before the arrays each time, all arrays end, and no rule is broken.
//
// One machine plays all of it over loopback with leases of four seconds; only the order of
// what happened is judged, never how long it took.
func TestZoneReturnsOnLoopback(t *testing.T) {
	z := newZoneCluster(t)
	arrays := z.fill()
	z.server.WithLock(func(w *simulator.Environment) { w.Cloud.NoCapacity = true })
	z.partReturns()
	z.flaps()
	for _, uid := range arrays {
		z.wait(uid+" is done", func() bool {
			status, body := z.send(z.randomBelow(processNodes), "GET", "/v2/runs/"+uid, nil)
			return z.checkAnswer(uid, status, body, false) == api.JobDone
		})
	}
	z.server.WithLock(func(w *simulator.Environment) {
		for _, broken := range w.Violations {
			t.Error(broken)
		}
	})
}

// fill has readers and arrays run in zone x, and readers elsewhere. It returns the arrays.
func (z *zoneCluster) fill() (arrays []string) {
	service := func(zone string, tasks int) func(*api.Job) {
		return func(j *api.Job) {
			j.Class, j.Kind, j.Priority, j.Tasks, j.Zone, j.Image = "service", api.Service, "production", tasks, zone, "reader"
		}
	}
	z.submit(service("y", 6), 0)
	z.submit(service("z", 6), 0)
	for range 2 {
		z.readers = append(z.readers, z.submit(service("x", loopbackReaders/2), 0))
	}
	z.wait("readers run", func() bool { return z.readersUp() == loopbackReaders })
	for range loopbackArrays {
		arrays = append(arrays, z.submit(func(*api.Job) {}, 8*time.Second))
	}
	z.wait("arrays run beside them", func() bool { return z.runningInX(arrays...) >= 2*loopbackTasks })
	return arrays
}

// partReturns has the zone and its controller go, and five machines without readers return.
func (z *zoneCluster) partReturns() {
	withReaders, others := z.machines()
	z.kill(0)
	z.partition(withReaders, true)
	z.partition(others, true)
	z.wait("the zone is down", z.zoneIs("down"))
	z.waitEmpty(append(withReaders, others...))
	const returning = 5
	z.terminate(append(withReaders, others[returning:]...))
	returned := z.now()
	z.partition(others[:returning], false)
	z.start(0)
	z.wait("readers run again", func() bool { return z.readersUp() == loopbackReaders })
	z.checkReadersFirst("part returned", returned, returning)
}

// waitEmpty waits until nothing runs on machines any more, but for those that were given up.
func (z *zoneCluster) waitEmpty(machines []*simulator.Worker) {
	z.wait("nothing runs there any more", func() (none bool) {
		z.server.WithLock(func(w *simulator.Environment) {
			none = !slices.ContainsFunc(w.Cloud.Workers(), func(x *simulator.Worker) bool {
				return slices.Contains(machines, x) && len(x.UnfinishedTaskJobs()) > 0
			})
		})
		return none
	})
}

// flaps has the zone go, return for a moment, and go again until nothing runs there. Then
// it returns for good, and the cloud has other machines for those that were given up. The
// order of starts is judged at the first return only: here it depends on how many were.
func (z *zoneCluster) flaps() {
	withReaders, others := z.machines()
	all := append(withReaders, others...)
	z.partition(all, true)
	z.wait("the zone is down again", z.zoneIs("down"))
	z.partition(all, false)
	z.wait("the zone returns", func() bool { return !z.zoneIs("down")() })
	z.partition(all, true)
	z.waitEmpty(all)
	z.partition(all, false)
	z.server.WithLock(func(w *simulator.Environment) { w.Cloud.NoCapacity = false })
	z.wait("readers run again", func() bool { return z.readersUp() == loopbackReaders })
}
