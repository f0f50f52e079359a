package frontend_test

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/external"
	"violetturn/internal/frontend"
	"violetturn/internal/httpwire"
	"violetturn/internal/membership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/simulator"
	"violetturn/internal/state"
	"violetturn/internal/storesync"
	"violetturn/internal/transport"
)

// unlimitedWrites is a write budget that is never exhausted.
type unlimitedWrites struct{}

func (unlimitedWrites) Available() int { return 1000 }

// testController is the frontend of a controller with a simulated state service.
type testController struct {
	store    *simulator.Store
	guard    *state.Guard
	sync     *storesync.Sync
	frontend *frontend.Frontend
}

func newTestController(t *testing.T) *testController {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Zone: "x"}
	facts := &settings.Facts
	facts.ControllerCount, facts.Zones = 1, []string{"x", "y"}
	facts.Workers.HeartbeatIntervalS, facts.Workers.LeaseS, facts.Workers.CancelTimeoutS = 1, 9, 40
	facts.Workers.GangGatherTimeoutS, facts.Workers.GangPeerTimeoutS = 12, 3
	facts.Limits.MemoryMB = 100
	facts.Teams = []config.Team{{Name: "a"}}
	facts.State.StateLimits = config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 4, TxnOps: 8}

	environment := simulator.NewEnvironment(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	info.Now = func() time.Time { return environment.Now }
	info.SimulatedClock = true
	services := &external.Services{
		Store: &simulator.StoreClient{Store: environment.Store, Controller: "n0", TxnOps: 8, MaxValueBytes: 4096},
	}
	wake := notify.NewSignal()
	guard := state.NewGuard(state.New(info, wake, unlimitedWrites{}))
	sync := storesync.New(info, guard, services, wake)
	return &testController{
		store: environment.Store, guard: guard, sync: sync,
		frontend: frontend.New(frontend.Deps{
			Node: info, Guard: guard, Services: services, Sync: sync,
			Members: membership.New(info, guard, services), Wake: wake, GangAccepted: notify.NewSignal(),
		}),
	}
}

// load loads the controller's cache from the state service and sets the cloud's machine types.
func (n *testController) load(t *testing.T) {
	t.Helper()
	if err := n.sync.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	locked := n.guard.Lock()
	defer n.guard.Unlock()
	locked.Catalog.SetMachineTypes([]cloud.MachineType{{Name: "m", CPUs: 8, GPUs: 2, MemGB: 64, Zones: []string{"x", "y"}, BootS: 6}})
}

// sendRequest sends a request and waits for its response.
func (n *testController) sendRequest(t *testing.T, method, target string, body []byte) transport.Response {
	t.Helper()
	responses := make(chan transport.Response, 1)
	response, answered := n.frontend.Handle(
		&httpwire.Message{Method: method, Target: target, Body: body}, func(r transport.Response) { responses <- r },
	)
	if answered {
		return response
	}
	select {
	case response = <-responses:
		return response
	case <-time.After(10 * time.Second):
		t.Fatalf("%s %s: got no response within 10 s", method, target)
		return response
	}
}

func encodeJob(modify func(*api.Job)) []byte {
	j := &api.Job{
		UID: "run-000100", Class: "l", Team: "a", Kind: api.Array, Priority: "idle",
		Tasks: 2, CPUs: 1, GPUs: 1, MemGB: 1, Image: "i",
	}
	modify(j)
	return simulator.Submission(j)
}

// Response bodies that several test cases expect.
const (
	busyBody             = `{"error":"try again"}`
	methodNotAllowedBody = `{"error":"method not allowed"}`
	unknownPathBody      = `{"error":"no such path"}`
	unknownJobBody       = `{"error":"no such run"}`
)

// responseCases are requests to one controller and their expected responses, in the order of
// sending.
var responseCases = []struct {
	name           string
	before         func(*testing.T, *testController) // called before the request unless nil
	method, target string
	body           []byte
	status         int
	response       string
	retryAfter     int
}{
	{"health before loading", nil, "GET", "/healthz", nil, 503, busyBody, 1},
	{"submission before loading", nil, "POST", "/v2/runs", encodeJob(func(*api.Job) {}), 503, busyBody, 1},
	{"query before loading", nil, "GET", "/v2/runs/run-000100", nil, 503, busyBody, 1},
	{"health", func(t *testing.T, n *testController) { t.Helper(); n.load(t) }, "GET", "/healthz", nil, 200, `{"node":"n0"}`, 0},
	{"health with a query string", nil, "GET", "/healthz?x=1", nil, 200, `{"node":"n0"}`, 0},
	{"health by another method", nil, "POST", "/healthz", nil, 405, methodNotAllowedBody, 0},
	{"heartbeat by another method", nil, "GET", "/checkin", nil, 405, methodNotAllowedBody, 0},
	{"heartbeat without a host", nil, "POST", "/checkin", []byte(`{}`), 400, `{"error":"host or tenure missing"}`, 0},
	{"heartbeat that is no JSON", nil, "POST", "/checkin", []byte(`{`), 400, `{"error":"malformed heartbeat"}`, 0},
	{"unknown path", nil, "GET", "/v2", nil, 404, unknownPathBody, 0},
	{"unknown path below a job", nil, "GET", "/v2/runs/run-000100/log", nil, 404, unknownPathBody, 0},
	{"submission by another method", nil, "GET", "/v2/runs", nil, 405, methodNotAllowedBody, 0},
	{"query by another method", nil, "DELETE", "/v2/runs/run-000100", nil, 405, methodNotAllowedBody, 0},
	{"cancellation by another method", nil, "GET", "/v2/runs/run-000100/cancel", nil, 405, methodNotAllowedBody, 0},
	{"submission that is no object", nil, "POST", "/v2/runs", []byte(`[]`), 400, `{"error":"not a JSON object"}`, 0},
	{
		"malformed submission", nil, "POST", "/v2/runs", encodeJob(func(j *api.Job) { j.Kind = "gang" }),
		400, `{"error":"shape: invalid"}`, 0,
	},
	{
		"submission of an unknown team", nil, "POST", "/v2/runs", encodeJob(func(j *api.Job) { j.Team = "z" }),
		422, `{"error":"unknown team"}`, 0,
	},
	{
		"submission longer than a record", nil, "POST", "/v2/runs",
		encodeJob(func(j *api.Job) { j.Image = strings.Repeat("x", 4000) }), 400, `{"error":"submission too long"}`, 0,
	},
	{"gang before the upgrade is complete", nil, "POST", "/v2/runs", encodeJob(func(j *api.Job) { j.Kind = api.Gang }), 503, busyBody, 1},
	{"query of an unknown job", nil, "GET", "/v2/runs/run-000100", nil, 404, unknownJobBody, 0},
	{"query of an invalid job ID", nil, "GET", "/v2/runs/.", nil, 404, unknownJobBody, 0},
	{"cancellation of an unknown job", nil, "POST", "/v2/runs/run-000100/cancel", nil, 404, unknownJobBody, 0},
	{"cancellation of an invalid job ID", nil, "POST", "/v2/runs/a/b/cancel", nil, 404, unknownJobBody, 0},
	{"submission", nil, "POST", "/v2/runs", encodeJob(func(*api.Job) {}), 201, `{"phase":"pending","uid":"run-000100"}`, 0},
	{
		"submission repeated", nil, "POST", "/v2/runs", encodeJob(func(*api.Job) {}),
		200, `{"uid":"run-000100","phase":"pending","done":0,"running":0}`, 0,
	},
	{
		"submission repeated malformed", nil, "POST", "/v2/runs", encodeJob(func(j *api.Job) { j.Kind = "gang" }),
		200, `{"uid":"run-000100","phase":"pending","done":0,"running":0}`, 0,
	},
	{"query", nil, "GET", "/v2/runs/run-000100", nil, 200, `{"uid":"run-000100","phase":"pending","done":0,"running":0}`, 0},
	{"cancellation", nil, "POST", "/v2/runs/run-000100/cancel", nil, 200, `{"phase":"withdrawn","uid":"run-000100"}`, 0},
	{"cancellation repeated", nil, "POST", "/v2/runs/run-000100/cancel", nil, 200, `{"phase":"withdrawn","uid":"run-000100"}`, 0},
	{
		"query of a cancelled job", nil, "GET", "/v2/runs/run-000100", nil,
		200, `{"uid":"run-000100","phase":"withdrawn","done":0,"running":0}`, 0,
	},
	{
		"query in an outage", func(_ *testing.T, n *testController) { n.store.Down = true },
		"GET", "/v2/runs/run-000100", nil, 503, busyBody, 1,
	},
	{"health in an outage", nil, "GET", "/healthz", nil, 200, `{"node":"n0"}`, 0},
}

// Response bodies must not change by a byte, whatever types they are encoded from, because users'
// programs parse them.
func TestHandleReturnsExactResponses(t *testing.T) {
	n := newTestController(t)
	for _, test := range responseCases {
		t.Run(test.name, func(t *testing.T) {
			if test.before != nil {
				test.before(t, n)
			}
			got := n.sendRequest(t, test.method, test.target, test.body)
			if got.Status != test.status || string(got.Body) != test.response || got.RetryAfter != test.retryAfter {
				t.Errorf("got status %d, body %s, Retry-After %d s; want %d, %s, %d s",
					got.Status, got.Body, got.RetryAfter, test.status, test.response, test.retryAfter)
			}
		})
	}
}
