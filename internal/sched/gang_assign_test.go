package sched

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Machines assigned to a gang give no more room than there is, leave none empty that had some, and
// unassigning them restores all.
func TestAssignGang(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &TaskRequest{Need: Resources{CPUs: 2, MemGB: 4}, Image: "i", ImageFetchS: 3}
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
		most := CountFits(all, a, 100)
		found := AssignGang(shards, a, make([]GangTask, n))
		if got := n - CountUnassigned(found); got != min(n, most) {
			t.Fatalf("%d tasks of %d have a machine where %d fit", got, n, most)
		}
		for h := range before {
			if h.Free.CPUs < -epsilon {
				t.Fatalf("%s is overfull", h.Name)
			}
		}
		Unassign(found, a)
		for h, f := range before {
			if !h.Free.ApproxEqual(f) {
				t.Fatalf("%s has %v, had %v", h.Name, h.Free, f)
			}
		}
	})
}

// A task of a gang goes to the machine where it starts soonest, then where another of the gang
// is, then to the fullest.
func TestAssignGangOrder(t *testing.T) {
	capacity, need := Resources{CPUs: 8, MemGB: 64}, Resources{CPUs: 2, MemGB: 4}
	host := func(name string, freeCPUs, startDelayS float64, images ...string) *Host {
		h := &Host{Name: name, Capacity: capacity, Free: Resources{CPUs: freeCPUs, MemGB: 64}, StartDelayS: startDelayS}
		h.Images = map[string]bool{}
		for _, image := range images {
			h.Images[image] = true
		}
		return h
	}
	for _, x := range []struct {
		name  string
		hosts []*Host
		tasks int
		want  []string
	}{
		{"the fullest", []*Host{host("a", 8, 0), host("b", 4, 0)}, 1, []string{"b"}},
		{"one that has the image", []*Host{host("a", 8, 0, "i"), host("b", 4, 0)}, 1, []string{"a"}},
		{"one that can start", []*Host{host("a", 8, 0), host("b", 4, 5)}, 1, []string{"a"}},
		{"where the gang is", []*Host{host("a", 8, 0), host("b", 4, 0)}, 3, []string{"b", "b", "a"}},
		{"where its fetch is under way", []*Host{host("a", 8, 1, "i"), host("b", 4, 0)}, 3, []string{"a", "a", "a"}},
		{"the first of equals", []*Host{host("b", 4, 0), host("a", 4, 0)}, 1, []string{"a"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			request := &TaskRequest{Need: need, Image: "i", ImageFetchS: 3}
			var got []string
			for _, h := range AssignGang([][]*Host{x.hosts}, request, make([]GangTask, x.tasks)) {
				got = append(got, h.Name)
			}
			if !slices.Equal(got, x.want) {
				t.Errorf("tasks go to %v, not %v", got, x.want)
			}
		})
	}
}
