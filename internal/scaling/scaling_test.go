package scaling

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"violetturn/internal/autoscaler"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/sched"
	"violetturn/internal/state"
)

// unlimitedWrites is a budget of changes that never runs out.
type unlimitedWrites struct{}

func (unlimitedWrites) Available() int { return 1000 }

// scriptedCloud answers rentals as its script says, and fully when that has ended.
type scriptedCloud struct {
	script   []rentalAnswer
	requests []cloud.RentalRequest
	failing  bool // types and lists are not served
	pages    int  // reads of the list
}

// rentalAnswer is the answer to one rental.
type rentalAnswer struct {
	hosts int
	err   error
}

func (c *scriptedCloud) Rent(_ context.Context, r cloud.RentalRequest) ([]string, error) {
	c.requests = append(c.requests, r)
	answer := rentalAnswer{hosts: r.Count}
	if len(c.script) > 0 {
		answer, c.script = c.script[0], c.script[1:]
	}
	var hosts []string
	for i := range answer.hosts {
		hosts = append(hosts, fmt.Sprintf("%s-%d", r.Name, i))
	}
	return hosts, answer.err
}

func (c *scriptedCloud) MachineTypes(context.Context) ([]cloud.MachineType, error) {
	if c.failing {
		return nil, cloud.ErrUnavailable
	}
	return []cloud.MachineType{{Name: "m", CPUs: 8, Zones: []string{"x"}, BootS: 6}}, nil
}

func (c *scriptedCloud) Return(context.Context, []string) error { return nil }

func (c *scriptedCloud) ListPage(context.Context, string) (hosts []cloud.Machine, truncated bool, err error) {
	c.pages++
	if c.failing {
		return nil, false, cloud.ErrUnavailable
	}
	return nil, false, nil
}

// newLoop returns the loop of node n0 with a scripted cloud. It leads no shard.
func newLoop(t *testing.T, scripted *scriptedCloud) *Loop {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Zone: "x"}
	settings.Facts.ControllerCount = 1
	settings.Facts.Workers = config.WorkerTimes{HeartbeatIntervalS: 1, LeaseS: 9, CancelTimeoutS: 40}
	settings.Facts.Cloud.ListLagS = 2
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	wake := notify.NewSignal()
	return New(Deps{
		Node: info, Guard: state.NewGuard(state.New(info, wake, unlimitedWrites{})),
		Services: &external.Services{Cloud: scripted}, Wake: wake,
	})
}

// An order is split into requests of what one may ask for, and ends with the first that isn't
// served.
func TestRentMachines(t *testing.T) {
	offer := sched.Offer{MachineType: "m", Zone: "x", Spot: true}
	for _, x := range []struct {
		name     string
		count    int
		script   []rentalAnswer
		want     rentalOutcome
		requests []int // counts of machines
		inDoubt  bool
	}{
		{"none wanted", 0, nil, rentalServed, nil, false},
		{"served at once", 3, nil, rentalServed, []int{3}, false},
		{"more than a request may ask for", 70, nil, rentalServed, []int{50, 20}, false},
		{"more than a round may ask for", 200, nil, rentalServed, []int{50, 50}, false},
		{"fewer than asked for", 70, []rentalAnswer{{hosts: 10}}, rentalRefused, []int{50}, false},
		{"refused", 3, []rentalAnswer{{err: cloud.ErrNoCapacity}}, rentalRefused, []int{3}, false},
		{"refused at last", 70, []rentalAnswer{{hosts: 50}, {err: cloud.ErrNoCapacity}}, rentalRefused, []int{50, 20}, false},
		{"no answer", 70, []rentalAnswer{{err: cloud.ErrUnavailable}}, rentalInDoubt, []int{50}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			scripted := &scriptedCloud{script: x.script}
			l := newLoop(t, scripted)
			renting := autoscaler.RentingShard{Shard: "n0", Term: 7, DecidedAt: l.node.Now()}
			got := l.rentMachines(t.Context(), sched.RentalOrder{Offer: offer, Count: x.count}, renting)
			if got != x.want {
				t.Errorf("outcome %d, want %d", got, x.want)
			}
			var counts []int
			for i, r := range scripted.requests {
				counts = append(counts, r.Count)
				if want := fmt.Sprintf("n0-7-%d", i+1); r.Name != want || r.MachineType != "m" || r.Zone != "x" || !r.Spot {
					t.Errorf("request %d: %+v, want the name %s", i, r, want)
				}
			}
			if !slices.Equal(counts, x.requests) {
				t.Errorf("requests of %v, want %v", counts, x.requests)
			}
			if _, unanswered := l.rentals.unanswered[offer]; unanswered != x.inDoubt {
				t.Errorf("in doubt: %t", unanswered)
			}
		})
	}
}

// A request in doubt is repeated as it was, whatever is wanted by then, until it has an answer.
func TestRentalInDoubtIsRepeated(t *testing.T) {
	scripted := &scriptedCloud{script: []rentalAnswer{{err: cloud.ErrUnavailable}, {err: cloud.ErrUnavailable}, {hosts: 4}}}
	l := newLoop(t, scripted)
	renting := autoscaler.RentingShard{Shard: "n0", Term: 7, DecidedAt: l.node.Now()}
	order := sched.RentalOrder{Offer: sched.Offer{MachineType: "m", Zone: "x"}, Count: 4}
	for i, want := range []rentalOutcome{rentalInDoubt, rentalInDoubt, rentalServed} {
		if got := l.rentMachines(t.Context(), order, renting); got != want {
			t.Fatalf("round %d: outcome %d, want %d", i, got, want)
		}
		if r := scripted.requests[i]; r != scripted.requests[0] {
			t.Errorf("round %d: %+v, want %+v again", i, r, scripted.requests[0])
		}
		order.Count, renting.Term = 1, renting.Term+1
	}
	if len(l.rentals.unanswered) != 0 {
		t.Errorf("in doubt after an answer: %v", l.rentals.unanswered)
	}
	order.Count = 1
	l.rentMachines(t.Context(), order, renting)
	if r := scripted.requests[3]; r.Name == scripted.requests[0].Name || r.Count != 1 {
		t.Errorf("next request: %+v", r)
	}
}

// The machine types and the list are read when they are old, and again at once after a failure.
func TestCloudIsReadAtIntervals(t *testing.T) {
	scripted := &scriptedCloud{failing: true}
	l := newLoop(t, scripted)
	now := time.Unix(1_800_000_000, 0)
	l.node.Now = func() time.Time { return now }
	known := func() bool {
		state := l.guard.Lock()
		defer l.guard.Unlock()
		return len(state.Catalog.MachineTypes()) > 0
	}
	read := func() {
		l.readMachineTypes(t.Context(), now)
		l.readMachineList(t.Context(), now)
	}
	if read(); known() || scripted.pages != 1 {
		t.Errorf("failing: types known %t, list read %d times", known(), scripted.pages)
	}
	scripted.failing = false
	if read(); !known() || scripted.pages != 2 {
		t.Errorf("served: types known %t, list read %d times", known(), scripted.pages)
	}
	now = now.Add(2 * time.Second) // the list's lag
	if read(); scripted.pages != 2 {
		t.Errorf("list read too early")
	}
	now = now.Add(1)
	if read(); scripted.pages != 3 {
		t.Errorf("list not read in time")
	}
	readAt := l.typesReadAt
	now = readAt.Add(typesLeases * l.node.Settings.WorkerLease())
	if read(); !l.typesReadAt.Equal(readAt) {
		t.Errorf("types read too early")
	}
	now = now.Add(1)
	if read(); !l.typesReadAt.Equal(now) {
		t.Errorf("types not read in time")
	}
}
