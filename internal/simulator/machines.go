package simulator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
)

// Cloud rents machines.
type Cloud struct {
	w           *World
	Down        bool
	Full        bool             // no capacity
	Next        map[string]Fault // what happens to a node's next rental or return
	Unreachable map[string]bool  // nodes whose requests don't arrive
	Hosts       map[string]*Worker
	Pages       int       // of the list that were read so far
	order       []*Worker // Hosts in the order of their names; nil: to be made anew
	terminated  []*Worker // that the list still shows

	listed   []cloud.Host // the list as of listedAt, of which pages are read
	listedAt time.Time

	rentals     map[string][]string
	nextMachine int
}

// Workers lists the machines there are, in the order of their names.
func (c *Cloud) Workers() []*Worker {
	if c.order == nil {
		c.order = slices.SortedFunc(maps.Values(c.Hosts), func(a, b *Worker) int { return strings.Compare(a.Host, b.Host) })
	}
	return c.order
}

// Names lists the names of the machines there are, in order.
func (c *Cloud) Names() []string {
	out := make([]string, 0, len(c.Hosts))
	for _, x := range c.Workers() {
		out = append(out, x.Host)
	}
	return out
}

// Kill ends a machine without a word, as the cloud does with a spot one.
func (c *Cloud) Kill(host string) {
	if x := c.Hosts[host]; x != nil {
		x.terminatedAt = c.w.Now
		c.terminated = append(c.terminated, x)
		delete(c.Hosts, host)
		c.order, c.listed = nil, nil
	}
}

// CloudClient is the cloud as one node reaches it.
type CloudClient struct {
	C    *Cloud
	Node string
}

// MachineTypes tells the machine types.
func (c *CloudClient) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	if c.C.Down || c.C.Unreachable[c.Node] {
		return nil, cloud.ErrUnavailable
	}
	f := c.C.w.MachineType
	return []cloud.MachineType{{
		Name:        f.Name,
		CPUs:        f.CPUs,
		GPUs:        f.GPUs,
		MemGB:       f.MemGB,
		FetchGBPerS: 1,
		Price:       3,
		SpotPrice:   1,
		BootS:       f.Boot.Seconds(),
		Zones:       c.C.w.Zones,
	}}, nil
}

// Rent rents machines.
func (c *CloudClient) Rent(_ context.Context, r cloud.RentalRequest) ([]string, error) {
	f := c.C.Next[c.Node]
	delete(c.C.Next, c.Node)
	if c.C.Down || c.C.Unreachable[c.Node] || f == LoseBefore {
		return nil, cloud.ErrUnavailable
	}
	if h, ok := c.C.rentals[r.Name]; ok {
		return h, nil
	}
	if c.C.Full {
		return nil, cloud.ErrNoCapacity
	}
	var out []string
	for range r.Count {
		name := fmt.Sprintf("i-%06d", c.C.nextMachine)
		c.C.nextMachine++
		c.C.Hosts[name] = &Worker{w: c.C.w, Host: name, Addr: "10.1.0.1:" + name, MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot,
			AgentEpoch: 1, upAt: c.C.w.Now.Add(c.C.w.MachineType.Boot), rentedAt: c.C.w.Now}
		out = append(out, name)
	}
	c.C.rentals[r.Name] = out
	c.C.order, c.C.listed = nil, nil
	if f != None {
		return nil, cloud.ErrUnavailable
	}
	return out, nil
}

// Return returns machines back.
func (c *CloudClient) Return(_ context.Context, hosts []string) error {
	f := c.C.Next[c.Node]
	delete(c.C.Next, c.Node)
	if c.C.Down || c.C.Unreachable[c.Node] || f == LoseBefore {
		return cloud.ErrUnavailable
	}
	for _, h := range hosts {
		c.C.Kill(h)
	}
	if f != None {
		return cloud.ErrUnavailable
	}
	return nil
}

// Page returns what there was some time ago, a page of it.
func (c *CloudClient) Page(_ context.Context, since string) (hosts []cloud.Host, truncated bool, err error) {
	if c.C.Down || c.C.Unreachable[c.Node] {
		return nil, false, cloud.ErrUnavailable
	}
	c.C.Pages++
	hosts, truncated = c.C.page(since, cloud.MaxPage)
	return hosts, truncated, nil
}

// page returns the machines as they were listed some time ago whose names come after since.
func (c *Cloud) page(since string, limit int) (hosts []cloud.Host, truncated bool) {
	all := c.list()
	from, found := slices.BinarySearchFunc(all, since, func(h cloud.Host, name string) int { return strings.Compare(h.UID, name) })
	if found {
		from++
	}
	hosts = append([]cloud.Host{}, all[from:min(len(all), from+limit)]...)
	return hosts, from+len(hosts) < len(all)
}

// list returns what there was some time ago.
func (c *Cloud) list() []cloud.Host {
	if c.listed != nil && c.listedAt.Equal(c.w.Now) {
		return c.listed
	}
	then := c.w.Now.Add(-c.w.ListLag)
	var out []cloud.Host
	show := func(x *Worker) {
		if x.rentedAt.After(then) || !x.terminatedAt.IsZero() && !x.terminatedAt.After(then) {
			return
		}
		phase := "running"
		if x.upAt.After(then) {
			phase = "starting"
		}
		out = append(
			out,
			cloud.Host{
				UID:         x.Host,
				Addr:        x.Addr,
				MachineType: x.MachineType,
				Zone:        x.Zone,
				Spot:        x.Spot,
				Phase:       phase,
				AgeS:        then.Sub(x.rentedAt).Seconds(),
			},
		)
	}
	for _, x := range c.Hosts {
		show(x)
	}
	for _, x := range c.terminated {
		show(x)
	}
	slices.SortFunc(out, func(a, b cloud.Host) int { return strings.Compare(a.UID, b.UID) })
	c.listed, c.listedAt = out, c.w.Now
	return out
}

// CommandClient reaches workers through /commands.
type CommandClient struct {
	W       *World
	Node    string
	Delayed []func() // commands held back by cuts, to be carried out late
	Cut     bool     // the node and all workers can't reach each other

	PartitionedFrom func(x *Worker) bool // whether the node and a worker can't; nil: they can
}

// Status asks a worker for its heartbeat.
func (d *CommandClient) Status(_ context.Context, addr string) (*api.Heartbeat, error) {
	for _, x := range d.W.Cloud.Hosts {
		if x.Addr == addr && x.Up() && !x.Partitioned && !x.InboundLost && !x.Hung && !d.Cut &&
			(d.PartitionedFrom == nil || !d.PartitionedFrom(x)) {
			return x.Heartbeat(), nil
		}
	}
	return nil, errors.New("no answer")
}

// SendCommands sends direct orders. A worker that is cut off gets them when Held is
// run; a machine that is not there never does.
func (d *CommandClient) SendCommands(_ context.Context, addr string, o api.CommandBatch) (*api.Heartbeat, bool, error) {
	for _, x := range d.W.Cloud.Workers() {
		if x.Addr != addr || !x.Up() {
			continue
		}
		run := func() (*api.Heartbeat, bool) {
			ok := o.Token >= x.Token && o.AgentEpoch == x.AgentEpoch
			if ok {
				x.Token = o.Token
				x.execute(o.Commands)
			}
			return x.Heartbeat(), ok
		}
		if x.InboundLost {
			break
		}
		if x.Partitioned || x.Hung || d.Cut || d.PartitionedFrom != nil && d.PartitionedFrom(x) {
			d.Delayed = append(d.Delayed, func() { run() })
			break
		}
		r, ok := run()
		return r, ok, nil
	}
	return nil, false, errors.New("no answer")
}
