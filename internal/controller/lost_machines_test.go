package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
)

// Jobs that are bound to one zone, a service and arrays, lose machines there and recover.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	s := newReadyCluster()
	inZoneY := func(j *api.Job) { j.Zone = "y" }
	s.submitService(3, inZoneY)
	array := s.submitArray(8, 6*time.Second, inZoneY)
	s.submitArray(4, 6*time.Second, func(j *api.Job) { j.SingleZone = true })
	s.runUntil(t, 80, "some tasks of the array run", func() bool { return s.runningTasks(array) > 0 })
	for range 3 {
		for i, host := range s.environment.Cloud.HostNames() {
			if worker := s.environment.Cloud.WorkersByHost[host]; worker.Zone == "y" && i%2 == 0 {
				s.environment.Cloud.Terminate(host)
			}
		}
		s.runRounds(t, 20)
	}
	s.checkRecovery(t)
}
