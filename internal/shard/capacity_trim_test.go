package shard

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/sched"
)

// tasksServedBy returns how many tasks of a demand fit on the machines, by a simple model that places
// one task after another.
func tasksServedBy(capacity FreeCapacity, demand []PeerDemand) int {
	free := maps.Clone(capacity)
	n := 0
	for _, d := range highestDemands(demand) {
		for remaining := int(d.Tasks); remaining > 0; remaining-- {
			machine := ""
			for name, resources := range free {
				if resources.Fits(d.Need) && (machine == "" || name < machine) {
					machine = name
				}
			}
			if machine == "" {
				break
			}
			free[machine] = free[machine].Sub(d.Need).Rounded()
			n++
		}
	}
	return n
}

// drawDemand returns a random demand for tasks of one to three sizes.
func drawDemand(t *rapid.T) []PeerDemand {
	var demand []PeerDemand
	for range rapid.IntRange(1, 3).Draw(t, "sizes") {
		demand = append(demand, PeerDemand{
			Need: sched.Resources{
				CPUs:  float64(rapid.IntRange(1, 6).Draw(t, "cpus")),
				GPUs:  float64(rapid.IntRange(0, 1).Draw(t, "gpus")),
				MemGB: float64(rapid.IntRange(1, 8).Draw(t, "mem")),
			},
			Tasks: float64(rapid.IntRange(0, 40).Draw(t, "tasks")),
		})
	}
	return demand
}

// A free capacity trimmed for a demand fits into the given size, has the right resources for each
// machine kept, and fits at least as many tasks of the demand as one trimmed without a demand.
func TestTrimToServesDemandAtLeastAsWellAsCapacityOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := FreeCapacity{}
		for i := range rapid.IntRange(0, 300).Draw(t, "machines") {
			gpus := float64(rapid.IntRange(0, 2).Draw(t, "free gpus"))
			capacity[fmt.Sprintf("i-%06d", i)] = sched.Resources{
				CPUs: float64(rapid.IntRange(1, 16).Draw(t, "free cpus")), GPUs: gpus, MemGB: 8 + 16*gpus,
			}
		}
		demand := drawDemand(t)
		size := rapid.IntRange(100, 4<<10).Draw(t, "size")
		byCapacity, byDemand := maps.Clone(capacity), maps.Clone(capacity)
		byCapacity.TrimTo(size, nil)
		removed := byDemand.TrimTo(size, demand)
		raw, err := json.Marshal(byDemand)
		if err != nil || len(raw) > size {
			t.Fatalf("encoding after TrimTo has %d bytes, want at most %d; error %v", len(raw), size, err)
		}
		if removed != len(capacity)-len(byDemand) {
			t.Fatalf("TrimTo() = %d machines removed, want %d", removed, len(capacity)-len(byDemand))
		}
		for name, resources := range byDemand {
			if capacity[name] != resources {
				t.Fatalf("machine %s is kept with %v, want %v", name, resources, capacity[name])
			}
		}
		if got, want := tasksServedBy(byDemand, demand), tasksServedBy(byCapacity, demand); got < want {
			t.Fatalf("%d tasks fit after trimming for the demand, want at least the %d after trimming without it",
				got, want)
		}
	})
}

// If the demand is for tasks with and without GPUs, machines of both kinds are kept, even if the free
// machines with GPUs alone exceed the size limit. Otherwise a peer finds no machines for a gang that
// needs only CPUs.
func TestTrimToKeepsMachinesForEachDemandedSize(t *testing.T) {
	capacity := FreeCapacity{}
	for i := range 1300 {
		capacity[fmt.Sprintf("i-%06d", i)] = sched.Resources{CPUs: 1, GPUs: 2, MemGB: 64} // two GPUs, but only one CPU
	}
	for i := range 100 {
		capacity[fmt.Sprintf("i-1%05d", i)] = sched.Resources{CPUs: 12, MemGB: 96}
	}
	demand := []PeerDemand{
		{Need: sched.Resources{CPUs: 1, GPUs: 1, MemGB: 32}, Tasks: 20},
		{Need: sched.Resources{CPUs: 2, MemGB: 12}, Tasks: 20},
	}
	byCapacity := maps.Clone(capacity)
	byCapacity.TrimTo(2<<10, nil)
	if n := tasksServedBy(byCapacity, demand); n != 20 {
		t.Fatalf("%d tasks fit after trimming without the demand, want 20", n)
	}
	capacity.TrimTo(2<<10, demand)
	if n := tasksServedBy(capacity, demand); n != 40 {
		t.Fatalf("%d tasks fit after trimming for the demand, want 40", n)
	}
}
