package catalog

import (
	"violetturn/internal/api"
	"violetturn/internal/numeric"
	"violetturn/internal/statecache"
)

// quotaTolerance is the amount by which a sum may exceed a limit, because sums of decimal fractions
// are not exact.
const quotaTolerance = 1e-6

// FetchSeconds returns the number of seconds that fetching a job's image takes on the machine type
// that fetches fastest; 0 if the catalog contains no fetch rate.
func (c *Catalog) FetchSeconds(spec *api.Job) float64 {
	fastestGBPerS := 0.0
	for i := range c.machineTypes {
		fastestGBPerS = max(fastestGBPerS, c.machineTypes[i].FetchGBPerS)
	}
	if fastestGBPerS <= 0 {
		return 0
	}
	return numeric.Amount(spec.ImageGB / fastestGBPerS)
}

// RejectionReason returns why a job can never run, or "" if it can. The reason is shown to users.
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

// exceedsLimit reports whether the part of a job that must run at the same time exceeds its team's
// limits: one task of an array, all tasks of any other job. A limit of 0 means unlimited.
func exceedsLimit(spec *api.Job, maxCPUs, maxGPUs float64) bool {
	concurrentTasks := 1.0
	if spec.Kind != api.Array {
		concurrentTasks = float64(spec.Tasks)
	}
	return maxCPUs > 0 && spec.CPUs*concurrentTasks > maxCPUs+quotaTolerance ||
		maxGPUs > 0 && spec.GPUs*concurrentTasks > maxGPUs+quotaTolerance
}

// zonesFor returns the zones that have a machine type on which a task of the job may run.
func (c *Catalog) zonesFor(spec *api.Job) map[string]bool {
	request := statecache.TaskRequestOf(spec)
	zones := map[string]bool{}
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		if !resourcesOf(machineType).Fits(request.Need) {
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
