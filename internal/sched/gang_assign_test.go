package sched

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// AssignGang assigns no more than the free capacity, uses all of it if tasks remain, and Unassign
// restores it.
func TestAssignGangUsesAllFittingCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := &TaskRequest{Need: Resources{CPUs: 2, MemGB: 4}, Image: "i", ImageFetchS: 3}
		shards := [][]*Host{nil, nil}
		var all []*Host
		before := map[*Host]Resources{}
		for i := range rapid.IntRange(0, 8).Draw(t, "hosts") {
			h := &Host{
				Name:     string(rune('a' + i)),
				Shard:    string(rune('p' + i%2)),
				Zone:     string(rune('x' + i%2)),
				Capacity: Resources{CPUs: 8, GPUs: 2, MemGB: 64},
				Free: Resources{
					CPUs:  float64(rapid.IntRange(0, 8).Draw(t, "cpus")),
					GPUs:  float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
					MemGB: 64,
				},
			}
			if rapid.Bool().Draw(t, "has image") {
				h.Images = map[string]bool{"i": true}
			}
			shards[i%2] = append(shards[i%2], h)
			all, before[h] = append(all, h), h.Free
		}
		n := rapid.IntRange(1, 12).Draw(t, "tasks")
		fitting := CountFits(all, request, 100)
		assigned := AssignGang(shards, request, make([]GangTask, n))
		if got := n - CountUnassigned(assigned); got != min(n, fitting) {
			t.Fatalf("assigned %d of %d tasks, want %d (capacity for %d)", got, n, min(n, fitting), fitting)
		}
		for h := range before {
			if h.Free.CPUs < -epsilon {
				t.Fatalf("%s has %v CPUs free, want at least 0", h.Name, h.Free.CPUs)
			}
		}
		Unassign(assigned, request)
		for h, freeBefore := range before {
			if !h.Free.ApproxEqual(freeBefore) {
				t.Fatalf("%s has %v free after Unassign, want %v", h.Name, h.Free, freeBefore)
			}
		}
	})
}

// A gang task is assigned to the machine where it starts soonest; ties go to a machine with another
// task of the gang, then to the fullest machine.
func TestAssignGangPrefersSoonestStart(t *testing.T) {
	capacity, need := Resources{CPUs: 8, MemGB: 64}, Resources{CPUs: 2, MemGB: 4}
	host := func(name string, freeCPUs, startDelayS float64, images ...string) *Host {
		h := &Host{Name: name, Capacity: capacity, Free: Resources{CPUs: freeCPUs, MemGB: 64}, StartDelayS: startDelayS}
		h.Images = map[string]bool{}
		for _, image := range images {
			h.Images[image] = true
		}
		return h
	}
	for _, test := range []struct {
		name  string
		hosts []*Host
		tasks int
		want  []string
	}{
		{"fullest machine", []*Host{host("a", 8, 0), host("b", 4, 0)}, 1, []string{"b"}},
		{"machine with the image", []*Host{host("a", 8, 0, "i"), host("b", 4, 0)}, 1, []string{"a"}},
		{"machine without start delay", []*Host{host("a", 8, 0), host("b", 4, 5)}, 1, []string{"a"}},
		{"machine that has a task of the gang", []*Host{host("a", 8, 0), host("b", 4, 0)}, 3, []string{"b", "b", "a"}},
		{"machine that already fetches the image for the gang", []*Host{host("a", 8, 1, "i"), host("b", 4, 0)}, 3, []string{"a", "a", "a"}},
		{"first name among equals", []*Host{host("b", 4, 0), host("a", 4, 0)}, 1, []string{"a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := &TaskRequest{Need: need, Image: "i", ImageFetchS: 3}
			var got []string
			for _, h := range AssignGang([][]*Host{test.hosts}, request, make([]GangTask, test.tasks)) {
				got = append(got, h.Name)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("AssignGang() assigned %v, want %v", got, test.want)
			}
		})
	}
}
