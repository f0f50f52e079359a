package controller

import (
	"testing"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
)

// BenchmarkFullMachine measures one heartbeat, from request body to response body, of a machine with as
// many small replicas as a heartbeat holds: while they run, and when they are cancelled.
func BenchmarkFullMachine(b *testing.B) {
	for _, cancelled := range []bool{false, true} {
		name := "running"
		if cancelled {
			name = "cancelled"
		}
		b.Run(name, func(b *testing.B) {
			s, _, host := newClusterWithOneMachine(b)
			service := s.runSmallReplicas(b)
			leader := s.nodes[s.preferredLeaderOf(host)]
			if cancelled {
				s.cancel(0, service)
				_ = leader.controller.sync.ApplyChanges(b.Context(), leader.state().Cache.Revision, 0)
			}
			worker := s.environment.Cloud.WorkersByHost[host]
			b.ReportAllocs()
			for b.Loop() {
				body := worker.EncodeHeartbeat()
				message := &httpwire.Message{Method: "POST", Target: "/checkin", Body: body}
				if r := leader.controller.frontend.HandleHeartbeat(message); r.Status != 200 || len(r.Body) > api.MaxMessageBytes {
					b.Fatalf("heartbeat answered with status %d and %d bytes, want 200 and at most %d",
						r.Status, len(r.Body), api.MaxMessageBytes)
				}
			}
		})
	}
}
