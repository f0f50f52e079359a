package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"violetturn/internal/simulator"
)

// playedFor is how long the benchmark plays a deployment.
const playedFor = 60 * time.Second

// BenchmarkProcesses runs three controllers as processes of their own under the load of a
// deployment for a minute, and has them write profiles into the folder that
// PROFILE_DIR names (n0, n1, n2).
func BenchmarkProcesses(b *testing.B) {
	base := os.Getenv("PROFILE_DIR")
	if base == "" {
		b.Skip("PROFILE_DIR is not set")
	}
	program := filepath.Join(b.TempDir(), "violetturn")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for _, d := range []*simulator.Deployment{simulator.Deployment300(), simulator.Deployment2000()} {
		b.Run(d.Name, func(b *testing.B) {
			for range b.N {
				d.BootTime = 10 * time.Second // the fill is not what is looked at here
				newCluster(b, d).run(program, filepath.Join(base, d.Name))
			}
		})
	}
}

// run plays the deployment with controllers that write their profiles into folders in base.
func (c *cluster) run(program, base string) {
	var processes []*exec.Cmd
	for i, file := range c.writeSettings(c.b.TempDir()) {
		dir := filepath.Join(base, fmt.Sprintf("n%d", i))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			c.b.Fatal(err)
		}
		p := exec.Command(program, "--config", file, "--profile", dir)
		if err := p.Start(); err != nil {
			c.b.Fatal(err)
		}
		processes = append(processes, p)
	}
	c.every(100*time.Millisecond, c.server.Tick)
	c.playWorkers()
	jobs := 0
	for _, class := range []*simulator.JobClass{&c.deployment.ServiceJobs, &c.deployment.ArrayJobs} {
		for range class.InitialJobs {
			c.playUser(class, jobs)
			jobs++
		}
	}
	for end := time.Now().Add(playedFor); time.Now().Before(end); time.Sleep(time.Second) {
		for _, class := range []*simulator.JobClass{&c.deployment.ServiceJobs, &c.deployment.ArrayJobs} {
			if c.randomBelow(1000) < int(class.JobsPerSecond*1000) {
				c.playUser(class, jobs)
				jobs++
			}
		}
	}
	for _, p := range processes {
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			c.b.Error(err)
		}
		if err := p.Wait(); err != nil {
			c.b.Error(err)
		}
		c.b.Logf(
			"%v of processor time, %v of it in the kernel",
			p.ProcessState.UserTime()+p.ProcessState.SystemTime(), p.ProcessState.SystemTime(),
		)
	}
	close(c.stop)
	c.running.Wait()
	c.server.WithLock(func(w *simulator.Environment) {
		c.b.Logf("%d machines, %d jobs, broken: %v", len(w.Cloud.WorkersByHost), jobs, w.Violations)
	})
}
