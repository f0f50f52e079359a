package autoscaler

import (
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/sched"
)

// Whether a machine's replicas fit elsewhere is tried on the machines themselves and
// taken back: the answer is that of a trial on copies, and nothing is left changed.
func TestFitElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"x", "y"}
		var hosts []*sched.Host
		for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
			gpus := float64(rapid.IntRange(0, 4).Draw(t, "free"))
			hosts = append(
				hosts,
				&sched.Host{
					Name:        string(rune('a' + i)),
					MachineType: "m",
					Zone:        rapid.SampledFrom(zones).Draw(t, "zone"),
					Capacity:    sched.Resources{CPUs: 8, GPUs: 4, MemGB: 64},
					Free: sched.Resources{
						CPUs:  2 * gpus,
						GPUs:  gpus,
						MemGB: 16 * gpus,
					},
					ServiceTasks: rapid.IntRange(0, 1).Draw(t, "services"),
					Images:       map[string]bool{rapid.SampledFrom([]string{"p", "q"}).Draw(t, "image"): true},
				},
			)
		}
		from := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "from")]
		var requests []sched.TaskRequest
		for range rapid.IntRange(0, 3).Draw(t, "tasks") {
			n := float64(rapid.IntRange(1, 2).Draw(t, "gpus"))
			requests = append(
				requests,
				sched.TaskRequest{
					Need:    sched.Resources{CPUs: n, GPUs: n, MemGB: n},
					Image:   rapid.SampledFrom([]string{"p", "q"}).Draw(t, "image"),
					Service: true,
				},
			)
		}
		want := fitOnCopies(hosts, from, requests)
		var before []sched.Resources
		for _, h := range hosts {
			before = append(before, h.Free)
		}
		review := &ScaleInReview{hosts: hosts}
		if got := review.fitElsewhere(from.Name, from.Zone, requests); got != want {
			t.Fatalf("fits %t, on copies %t", got, want)
		}
		for i, h := range hosts {
			if h.Free != before[i] {
				t.Fatalf("%s has %v left, had %v", h.Name, h.Free, before[i])
			}
		}
	})
}

// fitOnCopies reports whether tasks fit on the other machines of a zone, tried on copies.
func fitOnCopies(hosts []*sched.Host, from *sched.Host, requests []sched.TaskRequest) bool {
	var others []*sched.Host
	for _, h := range hosts {
		if h != from && h.ServiceTasks > 0 && h.Zone == from.Zone {
			x := *h
			others = append(others, &x)
		}
	}
	for i := range requests {
		h := sched.FullestFit(others, &requests[i])
		if h == nil || !h.Images[requests[i].Image] {
			return false
		}
		h.Free = h.Free.Sub(requests[i].Need)
	}
	return true
}
