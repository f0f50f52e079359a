package catalog

import (
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/node"
	"violetturn/internal/sched"
)

// Catalog is the machine types that the cloud has, and which offers it refused lately. The lock
// of internal/state guards it.
type Catalog struct {
	node         *node.Info
	machineTypes []cloud.MachineType
	backoffs     map[offerKey]backoff
}

// New returns a catalog that has not been read yet.
func New(node *node.Info) *Catalog {
	return &Catalog{node: node, backoffs: map[offerKey]backoff{}}
}

// SetMachineTypes replaces the machine types by those that the cloud has now.
func (c *Catalog) SetMachineTypes(types []cloud.MachineType) { c.machineTypes = types }

// MachineTypes returns the machine types in the cloud's order, none before they were read.
func (c *Catalog) MachineTypes() []cloud.MachineType { return c.machineTypes }

// IsLoaded reports whether the machine types have been read.
func (c *Catalog) IsLoaded() bool { return len(c.machineTypes) > 0 }

// ShortestBoot returns how long the machine type that boots fastest takes; 0 if none is known.
func (c *Catalog) ShortestBoot() time.Duration {
	shortest := 0.0
	for i := range c.machineTypes {
		if boot := c.machineTypes[i].BootS; shortest == 0 || boot < shortest {
			shortest = boot
		}
	}
	return seconds(shortest)
}

// MachineCapacity returns the size of a machine type and what the cloud says of it; nil if it is
// not known.
func (c *Catalog) MachineCapacity(machineType string) (sched.Resources, *cloud.MachineType) {
	for i := range c.machineTypes {
		if known := &c.machineTypes[i]; known.Name == machineType {
			return sizeOf(known), known
		}
	}
	return sched.Resources{}, nil
}

// MachineSizes returns the sizes of all machine types.
func (c *Catalog) MachineSizes() []sched.Resources {
	sizes := make([]sched.Resources, 0, len(c.machineTypes))
	for i := range c.machineTypes {
		sizes = append(sizes, sizeOf(&c.machineTypes[i]))
	}
	return sizes
}

// PriceOf returns the price of a machine of that type.
func PriceOf(machineType *cloud.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

func sizeOf(machineType *cloud.MachineType) sched.Resources {
	return sched.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemGB: machineType.MemGB}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
