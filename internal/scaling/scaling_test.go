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

// unlimitedWrites is a write budget that is never exhausted.
type unlimitedWrites struct{}

func (unlimitedWrites) Available() int { return 1000 }

// scriptedCloud answers rentals with the responses of its script, and rents all requested machines
// once the script is exhausted.
type scriptedCloud struct {
	script   []rentalResponse
	requests []cloud.RentalRequest
	failing  bool // reads of machine types and lists fail
	pages    int  // number of list pages read
}

// rentalResponse is the response to one rental request.
type rentalResponse struct {
	hosts int
	err   error
}

func (c *scriptedCloud) Rent(_ context.Context, request cloud.RentalRequest) ([]string, error) {
	c.requests = append(c.requests, request)
	response := rentalResponse{hosts: request.Count}
	if len(c.script) > 0 {
		response, c.script = c.script[0], c.script[1:]
	}
	var hosts []string
	for i := range response.hosts {
		hosts = append(hosts, fmt.Sprintf("%s-%d", request.Name, i))
	}
	return hosts, response.err
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

// newLoop returns the loop of controller n0 with a scripted cloud. It leads no shard.
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

// An order is split into requests of at most the number of machines that one request may have. The
// first request that is not fulfilled ends the order.
func TestRentMachinesSplitsOrderAndStopsAtFirstFailure(t *testing.T) {
	offer := sched.Offer{MachineType: "m", Zone: "x", Spot: true}
	for _, test := range []struct {
		name           string
		count          int
		script         []rentalResponse
		want           rentalOutcome
		requests       []int // counts of machines
		outcomeUnknown bool
	}{
		{"no machines ordered", 0, nil, rentalFulfilled, nil, false},
		{"fulfilled by one request", 3, nil, rentalFulfilled, []int{3}, false},
		{"more than one request may have", 70, nil, rentalFulfilled, []int{50, 20}, false},
		{"more than one run may request", 200, nil, rentalFulfilled, []int{50, 50}, false},
		{"fewer than requested", 70, []rentalResponse{{hosts: 10}}, rentalRefused, []int{50}, false},
		{"refused", 3, []rentalResponse{{err: cloud.ErrNoCapacity}}, rentalRefused, []int{3}, false},
		{"second request refused", 70, []rentalResponse{{hosts: 50}, {err: cloud.ErrNoCapacity}}, rentalRefused, []int{50, 20}, false},
		{"no response", 70, []rentalResponse{{err: cloud.ErrUnavailable}}, rentalOutcomeUnknown, []int{50}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			scripted := &scriptedCloud{script: test.script}
			l := newLoop(t, scripted)
			renting := autoscaler.RentingShard{Shard: "n0", Term: 7, DecidedAt: l.node.Now()}
			got := l.rentMachines(t.Context(), sched.RentalOrder{Offer: offer, Count: test.count}, renting)
			if got != test.want {
				t.Errorf("outcome %d, want %d", got, test.want)
			}
			var counts []int
			for i, request := range scripted.requests {
				counts = append(counts, request.Count)
				if want := fmt.Sprintf("n0-7-%d", i+1); request.Name != want ||
					request.MachineType != "m" || request.Zone != "x" || !request.Spot {
					t.Errorf("request %d is %+v, want name %s, type m, zone x, spot", i, request, want)
				}
			}
			if !slices.Equal(counts, test.requests) {
				t.Errorf("requested counts are %v, want %v", counts, test.requests)
			}
			if _, unresolved := l.rentals.unresolved[offer]; unresolved != test.outcomeUnknown {
				t.Errorf("request is unresolved: %t, want %t", unresolved, test.outcomeUnknown)
			}
		})
	}
}

// A request with unknown outcome is repeated unchanged until it gets a response, even if the order
// or the term has changed meanwhile. Otherwise the cloud could rent the machines twice.
func TestRentalWithUnknownOutcomeIsRepeated(t *testing.T) {
	scripted := &scriptedCloud{script: []rentalResponse{{err: cloud.ErrUnavailable}, {err: cloud.ErrUnavailable}, {hosts: 4}}}
	l := newLoop(t, scripted)
	renting := autoscaler.RentingShard{Shard: "n0", Term: 7, DecidedAt: l.node.Now()}
	order := sched.RentalOrder{Offer: sched.Offer{MachineType: "m", Zone: "x"}, Count: 4}
	for i, want := range []rentalOutcome{rentalOutcomeUnknown, rentalOutcomeUnknown, rentalFulfilled} {
		if got := l.rentMachines(t.Context(), order, renting); got != want {
			t.Fatalf("attempt %d: outcome %d, want %d", i, got, want)
		}
		if request := scripted.requests[i]; request != scripted.requests[0] {
			t.Errorf("attempt %d: request is %+v, want %+v again", i, request, scripted.requests[0])
		}
		order.Count, renting.Term = 1, renting.Term+1
	}
	if len(l.rentals.unresolved) != 0 {
		t.Errorf("unresolved requests after a response: %v, want none", l.rentals.unresolved)
	}
	order.Count = 1
	l.rentMachines(t.Context(), order, renting)
	if request := scripted.requests[3]; request.Name == scripted.requests[0].Name || request.Count != 1 {
		t.Errorf("next request is %+v, want a new name and a count of 1", request)
	}
}

// The machine types and the list are read again once they are too old, and by the next run after a
// failed read.
func TestCloudReadsRepeatWhenStaleOrFailed(t *testing.T) {
	scripted := &scriptedCloud{failing: true}
	l := newLoop(t, scripted)
	now := time.Unix(1_800_000_000, 0)
	l.node.Now = func() time.Time { return now }
	machineTypesRead := func() bool {
		state := l.guard.Lock()
		defer l.guard.Unlock()
		return len(state.Catalog.MachineTypes()) > 0
	}
	readCloud := func() {
		l.readMachineTypes(t.Context(), now)
		l.readMachineList(t.Context(), now)
	}
	if readCloud(); machineTypesRead() || scripted.pages != 1 {
		t.Errorf("failing cloud: machine types read %t, %d list pages read, want false and 1", machineTypesRead(), scripted.pages)
	}
	scripted.failing = false
	if readCloud(); !machineTypesRead() || scripted.pages != 2 {
		t.Errorf("working cloud: machine types read %t, %d list pages read, want true and 2", machineTypesRead(), scripted.pages)
	}
	now = now.Add(2 * time.Second) // the lag of the list
	if readCloud(); scripted.pages != 2 {
		t.Errorf("%d list pages read within the lag, want 2", scripted.pages)
	}
	now = now.Add(1)
	if readCloud(); scripted.pages != 3 {
		t.Errorf("%d list pages read after the lag, want 3", scripted.pages)
	}
	readAt := l.machineTypesReadAt
	now = readAt.Add(machineTypesMaxAgeLeases * l.node.Settings.WorkerLease())
	if readCloud(); !l.machineTypesReadAt.Equal(readAt) {
		t.Errorf("machine types last read at %v although not too old, want %v", l.machineTypesReadAt, readAt)
	}
	now = now.Add(1)
	if readCloud(); !l.machineTypesReadAt.Equal(now) {
		t.Errorf("machine types last read at %v although too old, want %v", l.machineTypesReadAt, now)
	}
}
