package shard

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/sched"
)

// tasksServedBy counts, by a plain model, how many tasks of a demand machines take one by one.
func tasksServedBy(room FreeCapacity, demand []PeerDemand) int {
	free := maps.Clone(room)
	n := 0
	for _, d := range mostWanted(demand) {
		for left := int(d.Tasks); left > 0; left-- {
			host := ""
			for name, v := range free {
				if v.Fits(d.Need) && (host == "" || name < host) {
					host = name
				}
			}
			if host == "" {
				break
			}
			free[host] = free[host].Sub(d.Need).Rounded()
			n++
		}
	}
	return n
}

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

// A record that keeps what is wanted fits its value, says nothing that isn't so, and has
// room for at least as much of the demand as one in the order of room alone.
func TestTrimForDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := FreeCapacity{}
		for i := range rapid.IntRange(0, 300).Draw(t, "machines") {
			gpus := float64(rapid.IntRange(0, 2).Draw(t, "free gpus"))
			room[fmt.Sprintf("i-%06d", i)] = sched.Resources{
				CPUs: float64(rapid.IntRange(1, 16).Draw(t, "free cpus")), GPUs: gpus, MemGB: 8 + 16*gpus,
			}
		}
		demand := drawDemand(t)
		size := rapid.IntRange(100, 4<<10).Draw(t, "size")
		plain, wanted := maps.Clone(room), maps.Clone(room)
		plain.TrimTo(size, nil)
		left := wanted.TrimTo(size, demand)
		raw, err := json.Marshal(wanted)
		if err != nil || len(raw) > size {
			t.Fatalf("%d bytes of %d, %v", len(raw), size, err)
		}
		if left != len(room)-len(wanted) {
			t.Fatalf("returns %d removed, not %d", left, len(room)-len(wanted))
		}
		for name, v := range wanted {
			if room[name] != v {
				t.Fatalf("%s is kept with %v, has %v", name, v, room[name])
			}
		}
		if a, b := tasksServedBy(wanted, demand), tasksServedBy(plain, demand); a < b {
			t.Fatalf("takes %d tasks, in the order of room alone %d", a, b)
		}
	})
}

// Where most machines with accelerators are free and a gang of processors is wanted,
// which no machine with accelerators left would keep from it, some of both stay.
func TestTrimKeepsSomeOfEachSize(t *testing.T) {
	room := FreeCapacity{}
	for i := range 1300 {
		room[fmt.Sprintf("i-%06d", i)] = sched.Resources{CPUs: 1, GPUs: 2, MemGB: 64} // accelerators, but hardly a processor
	}
	for i := range 100 {
		room[fmt.Sprintf("i-1%05d", i)] = sched.Resources{CPUs: 12, MemGB: 96}
	}
	demand := []PeerDemand{
		{Need: sched.Resources{CPUs: 1, GPUs: 1, MemGB: 32}, Tasks: 20},
		{Need: sched.Resources{CPUs: 2, MemGB: 12}, Tasks: 20},
	}
	plain := maps.Clone(room)
	plain.TrimTo(2<<10, nil)
	if n := tasksServedBy(plain, demand); n != 20 {
		t.Fatalf("in the order of room alone %d tasks find room", n)
	}
	room.TrimTo(2<<10, demand)
	if n := tasksServedBy(room, demand); n != 40 {
		t.Fatalf("%d of 40 tasks find room", n)
	}
}
