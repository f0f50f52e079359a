package simulator

import (
	"context"

	"violetturn/internal/cloud"
)

// Properties of the machine type that no test varies.
const (
	fetchGBPerS   = 1
	onDemandPrice = 3
	spotPrice     = 1
)

// CloudClient is a controller's client of the simulated cloud.
type CloudClient struct {
	Cloud      *Cloud
	Controller string
}

// available reports whether the cloud serves requests of the controller.
func (c *CloudClient) available() bool {
	return !c.Cloud.Down && !c.Cloud.UnreachableControllers[c.Controller]
}

// MachineTypes returns the only machine type of the cloud.
func (c *CloudClient) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	if !c.available() {
		return nil, cloud.ErrUnavailable
	}
	m := c.Cloud.env.MachineType
	return []cloud.MachineType{{
		Name:        m.Name,
		CPUs:        m.CPUs,
		GPUs:        m.GPUs,
		MemGB:       m.MemGB,
		FetchGBPerS: fetchGBPerS,
		Price:       onDemandPrice,
		SpotPrice:   spotPrice,
		BootS:       m.BootTime.Seconds(),
		Zones:       c.Cloud.env.Zones,
	}}, nil
}

// Rent rents machines and returns their names. A request with the name of an earlier one rents
// nothing and gets the same response.
func (c *CloudClient) Rent(_ context.Context, r cloud.RentalRequest) ([]string, error) {
	fault := c.Cloud.consumeNextFault(c.Controller)
	if !c.available() || fault == RequestLost {
		return nil, cloud.ErrUnavailable
	}
	c.Cloud.rentalCopies.keep(r, maxRentalCopies)
	if hosts, ok := c.Cloud.rentals[r.Name]; ok {
		return hosts, nil
	}
	if c.Cloud.NoCapacity {
		return nil, cloud.ErrNoCapacity
	}
	hosts := c.Cloud.rent(r)
	if fault != NoFault {
		return nil, cloud.ErrUnavailable
	}
	return hosts, nil
}

// Return returns machines to the cloud, which terminates them.
func (c *CloudClient) Return(_ context.Context, hosts []string) error {
	fault := c.Cloud.consumeNextFault(c.Controller)
	if !c.available() || fault == RequestLost {
		return cloud.ErrUnavailable
	}
	for _, h := range hosts {
		c.Cloud.Terminate(h)
	}
	if fault != NoFault {
		return cloud.ErrUnavailable
	}
	return nil
}

// ListPage returns a page of the list of machines as it was ListLag ago.
func (c *CloudClient) ListPage(_ context.Context, since string) (machines []cloud.Machine, truncated bool, err error) {
	if !c.available() {
		return nil, false, cloud.ErrUnavailable
	}
	c.Cloud.PagesRead++
	machines, truncated = c.Cloud.page(since, cloud.MaxMachinesPerPage)
	return machines, truncated, nil
}
