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

// benchmarkDuration is how long the benchmark runs a deployment.
const benchmarkDuration = 60 * time.Second

// BenchmarkProcesses runs three controllers as separate processes under the load of a deployment for
// a minute. They write their profiles into the subfolders n0, n1 and n2 of a folder for the
// deployment in PROFILE_DIR.
func BenchmarkProcesses(b *testing.B) {
	base := os.Getenv("PROFILE_DIR")
	if base == "" {
		b.Skip("PROFILE_DIR is not set")
	}
	program := filepath.Join(b.TempDir(), "violetturn")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		b.Fatalf("go build: %v: %s", err, out)
	}
	for _, d := range []*simulator.Deployment{simulator.Deployment300(), simulator.Deployment2000()} {
		b.Run(d.Name, func(b *testing.B) {
			for range b.N {
				d.BootTime = 10 * time.Second // short, because the benchmark doesn't measure the initial startup of machines
				newCluster(b, d).runBenchmark(program, filepath.Join(base, d.Name))
			}
		})
	}
}

// runBenchmark runs the deployment. Each controller writes its profiles into a folder in base.
func (c *cluster) runBenchmark(program, base string) {
	var processes []*exec.Cmd
	for i, file := range c.writeSettings(c.tb.TempDir()) {
		dir := filepath.Join(base, fmt.Sprintf("n%d", i))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			c.tb.Fatal(err)
		}
		p := exec.Command(program, "--config", file, "--profile", dir)
		if err := p.Start(); err != nil {
			c.tb.Fatal(err)
		}
		processes = append(processes, p)
	}
	c.runPeriodically(100*time.Millisecond, c.server.Tick)
	c.simulateWorkers()
	jobs := 0
	for _, class := range []*simulator.JobClass{&c.deployment.ServiceJobs, &c.deployment.ArrayJobs} {
		for range class.InitialJobs {
			c.simulateUser(class, jobs)
			jobs++
		}
	}
	for deadline := time.Now().Add(benchmarkDuration); time.Now().Before(deadline); time.Sleep(time.Second) {
		for _, class := range []*simulator.JobClass{&c.deployment.ServiceJobs, &c.deployment.ArrayJobs} {
			if c.randomBelow(1000) < int(class.JobsPerSecond*1000) {
				c.simulateUser(class, jobs)
				jobs++
			}
		}
	}
	for _, p := range processes {
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			c.tb.Error(err)
		}
		if err := p.Wait(); err != nil {
			c.tb.Error(err)
		}
		c.tb.Logf(
			"used %v of CPU time, %v of it in the kernel",
			p.ProcessState.UserTime()+p.ProcessState.SystemTime(), p.ProcessState.SystemTime(),
		)
	}
	close(c.stop)
	c.running.Wait()
	c.server.WithLock(func(env *simulator.Environment) {
		c.tb.Logf("%d machines, %d jobs, violations: %v", len(env.Cloud.WorkersByHost), jobs, env.Violations)
	})
}
