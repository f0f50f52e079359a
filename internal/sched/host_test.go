package sched

import (
	"fmt"

	"pgregory.net/rapid"
)

func drawResources(t *rapid.T, name string, most int) Resources {
	t.Helper()
	amount := func(kind string) float64 { return float64(rapid.IntRange(0, most).Draw(t, name+kind)) / 2 }
	return Resources{amount("cpus"), amount("gpus"), amount("mem")}
}

func drawHosts(t *rapid.T) []*Host {
	t.Helper()
	var hosts []*Host
	for i := range rapid.IntRange(0, 6).Draw(t, "hosts") {
		capacity := Resources{8, 4, 8}
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
