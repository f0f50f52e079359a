package catalog

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/node"
	"violetturn/internal/numeric"
	"violetturn/internal/sched"
)

// Catalog contains the cloud's machine types, and the offers that the cloud refused recently. The
// lock of internal/state guards it.
type Catalog struct {
	node         *node.Info
	machineTypes []cloud.MachineType
	backoffs     map[offerKey]backoff
}

// New returns an empty catalog; the machine types are set by SetMachineTypes.
func New(node *node.Info) *Catalog {
	return &Catalog{node: node, backoffs: map[offerKey]backoff{}}
}

// SetMachineTypes replaces the machine types by those that the cloud offers now. It bounds their
// amounts, of which the protocol does not limit any.
func (c *Catalog) SetMachineTypes(types []cloud.MachineType) {
	c.machineTypes = slices.Clone(types)
	for i := range c.machineTypes {
		t := &c.machineTypes[i]
		for _, amount := range []*float64{&t.CPUs, &t.GPUs, &t.MemGB, &t.CacheGB, &t.FetchGBPerS, &t.Price, &t.SpotPrice, &t.BootS} {
			*amount = max(numeric.Amount(*amount), 0)
		}
	}
}

// MachineTypes returns the machine types in the cloud's order; none if they have not been read yet.
func (c *Catalog) MachineTypes() []cloud.MachineType { return c.machineTypes }

// IsLoaded reports whether the machine types have been read.
func (c *Catalog) IsLoaded() bool { return len(c.machineTypes) > 0 }

// ShortestBoot returns the boot time of the machine type that boots fastest; 0 if the machine types
// have not been read yet.
func (c *Catalog) ShortestBoot() time.Duration {
	shortest := 0.0
	for i := range c.machineTypes {
		if boot := c.machineTypes[i].BootS; shortest == 0 || boot < shortest {
			shortest = boot
		}
	}
	return numeric.Duration(shortest)
}

// MachineCapacity returns the size and the cloud's description of a machine type; nil if the
// catalog does not contain it.
func (c *Catalog) MachineCapacity(machineType string) (sched.Resources, *cloud.MachineType) {
	for i := range c.machineTypes {
		if candidate := &c.machineTypes[i]; candidate.Name == machineType {
			return resourcesOf(candidate), candidate
		}
	}
	return sched.Resources{}, nil
}

// MachineSizes returns the sizes of all machine types.
func (c *Catalog) MachineSizes() []sched.Resources {
	sizes := make([]sched.Resources, 0, len(c.machineTypes))
	for i := range c.machineTypes {
		sizes = append(sizes, resourcesOf(&c.machineTypes[i]))
	}
	return sizes
}

// PriceOf returns the price of a machine of the given type, as a spot machine or not.
func PriceOf(machineType *cloud.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

func resourcesOf(machineType *cloud.MachineType) sched.Resources {
	return sched.Resources{
		CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemGB: machineType.MemGB, ReportBytes: api.MaxTasksBytes,
	}
}
