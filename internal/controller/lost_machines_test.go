package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
)

// Jobs bound to one zone, arrays too, lose machines there.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	s := newReadyCluster()
	bound := func(r *api.Job) { r.Zone = "y" }
	s.submitService(3, bound)
	a := s.submitArray(8, 6*time.Second, bound)
	s.submitArray(4, 6*time.Second, func(r *api.Job) { r.SingleZone = true })
	s.runUntil(t, 80, "some run", func() bool { return s.runningTasks(a) > 0 })
	for range 3 {
		for k, h := range s.environment.Cloud.HostNames() {
			if x := s.environment.Cloud.WorkersByHost[h]; x.Zone == "y" && k%2 == 0 {
				s.environment.Cloud.Terminate(h)
			}
		}
		s.runRounds(t, 20)
	}
	s.checkRecovery(t)
}
