package catalog

import (
	"violetturn/internal/api"
	"violetturn/internal/statecache"
)

// quotaTolerance is by how much a sum may pass a limit: sums of decimal fractions are not exact.
const quotaTolerance = 1e-6

// FetchSeconds returns how many seconds fetching a job's image takes at least; 0 if that is not
// known.
func (c *Catalog) FetchSeconds(spec *api.Job) float64 {
	fastest := 0.0
	for i := range c.machineTypes {
		fastest = max(fastest, c.machineTypes[i].FetchGBPerS)
	}
	if fastest <= 0 {
		return 0
	}
	return spec.ImageGB / fastest
}

// RejectionReason returns why a job can never run, "" if it can. Users read it.
func (c *Catalog) RejectionReason(spec *api.Job) string {
	team, ok := c.node.Settings.Team(spec.Team)
	if !ok {
		return "unknown team"
	}
	if exceedsLimit(spec, team.MaxCPUs, team.MaxGPUs) {
		return "more than the team's limit"
	}
	zones := c.zonesFor(spec)
	switch {
	case len(zones) == 0:
		return "fits no allowed machine type"
	case spec.Spread && spec.Tasks > 1 && (len(zones) == 1 || spec.SingleZone):
		return "can't be scattered"
	}
	return ""
}

// exceedsLimit reports whether what has to run of a job at once is more than its team's limits,
// 0 for none: one task of an array, all of any other job.
func exceedsLimit(spec *api.Job, cpusMax, gpusMax float64) bool {
	atOnce := 1.0
	if spec.Kind != api.Array {
		atOnce = float64(spec.Tasks)
	}
	return cpusMax > 0 && spec.CPUs*atOnce > cpusMax+quotaTolerance || gpusMax > 0 && spec.GPUs*atOnce > gpusMax+quotaTolerance
}

// zonesFor returns the zones with a machine type that a task of a job may run on.
func (c *Catalog) zonesFor(spec *api.Job) map[string]bool {
	request := statecache.TaskRequestOf(spec)
	zones := map[string]bool{}
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		if !sizeOf(machineType).Fits(request.Need) {
			continue
		}
		for _, zone := range machineType.Zones {
			if request.Allows(machineType.Name, zone, false) {
				zones[zone] = true
			}
		}
	}
	return zones
}
