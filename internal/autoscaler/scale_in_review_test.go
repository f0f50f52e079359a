package autoscaler

import (
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/sched"
)

// fitsElsewhere tries placements on the hosts themselves. Its result must match a trial on copies,
// and the hosts must be unchanged afterwards; otherwise later reviews of the same run use wrong
// capacities.
func TestFitsElsewhereMatchesTrialOnCopies(t *testing.T) {
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
		source := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "from")]
		var requests []sched.TaskRequest
		for range rapid.IntRange(0, 3).Draw(t, "tasks") {
			amount := float64(rapid.IntRange(1, 2).Draw(t, "gpus"))
			requests = append(
				requests,
				sched.TaskRequest{
					Need:    sched.Resources{CPUs: amount, GPUs: amount, MemGB: amount},
					Image:   rapid.SampledFrom([]string{"p", "q"}).Draw(t, "image"),
					Service: true,
				},
			)
		}
		want := fitsOnCopies(hosts, source, requests)
		var before []sched.Resources
		for _, host := range hosts {
			before = append(before, host.Free)
		}
		review := &ScaleInReview{remainingHosts: hosts}
		if got := review.fitsElsewhere(source.Name, source.Zone, requests); got != want {
			t.Fatalf("fitsElsewhere returned %t, want %t as on copies of the hosts", got, want)
		}
		for i, host := range hosts {
			if host.Free != before[i] {
				t.Fatalf("host %s has %v free after the check, want %v as before", host.Name, host.Free, before[i])
			}
		}
	})
}

// fitsOnCopies reports whether the tasks fit on the other machines with replicas in the zone of
// source, tried on copies.
func fitsOnCopies(hosts []*sched.Host, source *sched.Host, requests []sched.TaskRequest) bool {
	var others []*sched.Host
	for _, host := range hosts {
		if host != source && host.ServiceTasks > 0 && host.Zone == source.Zone {
			hostCopy := *host
			others = append(others, &hostCopy)
		}
	}
	for i := range requests {
		host := sched.FullestFit(others, &requests[i])
		if host == nil || !host.Images[requests[i].Image] {
			return false
		}
		host.Free = host.Free.Sub(requests[i].Need)
	}
	return true
}
