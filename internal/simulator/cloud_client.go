package simulator

import (
	"context"

	"violetturn/internal/cloud"
)

// Facts of the one machine type that no test varies.
const (
	fetchGBPerS = 1
	price       = 3
	spotPrice   = 1
)

// CloudClient is the cloud as one node reaches it.
type CloudClient struct {
	Cloud *Cloud
	Node  string
}

// available reports whether a request of the node is served.
func (c *CloudClient) available() bool { return !c.Cloud.Down && !c.Cloud.UnreachableNodes[c.Node] }

// MachineTypes returns the machine types.
func (c *CloudClient) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	if !c.available() {
		return nil, cloud.ErrUnavailable
	}
	m := c.Cloud.w.MachineType
	return []cloud.MachineType{{
		Name:        m.Name,
		CPUs:        m.CPUs,
		GPUs:        m.GPUs,
		MemGB:       m.MemGB,
		FetchGBPerS: fetchGBPerS,
		Price:       price,
		SpotPrice:   spotPrice,
		BootS:       m.BootTime.Seconds(),
		Zones:       c.Cloud.w.Zones,
	}}, nil
}

// Rent rents machines. A request that was carried out before, by its name, rents nothing
// more and gets the same response.
func (c *CloudClient) Rent(_ context.Context, r cloud.RentalRequest) ([]string, error) {
	fault := c.Cloud.takeNextFault(c.Node)
	if !c.available() || fault == RequestLost {
		return nil, cloud.ErrUnavailable
	}
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

// Return returns machines to the cloud, which ends them.
func (c *CloudClient) Return(_ context.Context, hosts []string) error {
	fault := c.Cloud.takeNextFault(c.Node)
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

// ListPage returns a page of the list of machines, which lags behind what there is.
func (c *CloudClient) ListPage(_ context.Context, since string) (hosts []cloud.Machine, truncated bool, err error) {
	if !c.available() {
		return nil, false, cloud.ErrUnavailable
	}
	c.Cloud.PagesRead++
	hosts, truncated = c.Cloud.page(since, cloud.MaxMachinesPerPage)
	return hosts, truncated, nil
}
