package sched

import (
	"fmt"

	"pgregory.net/rapid"
)

// drawResources draws an amount of each resource, in steps of a half up to maxHalves steps.
func drawResources(t *rapid.T, name string, maxHalves int) Resources {
	t.Helper()
	amount := func(kind string) float64 { return float64(rapid.IntRange(0, maxHalves).Draw(t, name+kind)) / 2 }
	return Resources{CPUs: amount("cpus"), GPUs: amount("gpus"), MemGB: amount("mem")}
}

// drawHosts draws up to six machines of the same size in two zones, with random free capacity.
func drawHosts(t *rapid.T) []*Host {
	t.Helper()
	var hosts []*Host
	for i := range rapid.IntRange(0, 6).Draw(t, "hosts") {
		capacity := Resources{CPUs: 8, GPUs: 4, MemGB: 8}
		hosts = append(hosts, &Host{
			Name:         fmt.Sprint("h", i),
			MachineType:  "m",
			Zone:         rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"),
			Spot:         rapid.Bool().Draw(t, "spot"),
			Capacity:     capacity,
			Free:         capacity.Sub(drawResources(t, "used", 8)),
			ServiceTasks: rapid.IntRange(0, 1).Draw(t, "services"),
		})
	}
	return hosts
}
