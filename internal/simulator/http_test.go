package simulator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// request sends a request to a handler and returns the status and the body of the response.
func request(t *testing.T, h http.Handler, method, target, body string) (status int, response string) {
	t.Helper()
	out := httptest.NewRecorder()
	h.ServeHTTP(out, httptest.NewRequest(method, target, strings.NewReader(body)))
	b, err := io.ReadAll(out.Result().Body)
	if err != nil {
		t.Fatal(err)
	}
	return out.Code, string(b)
}

// The state service and the cloud answer in PROTOCOL's words.
func TestServerResponses(t *testing.T) {
	s := NewServer(newTestWorld())
	state, machines := s.StateHandler(), s.CloudHandler(7000)
	for _, x := range []struct {
		name                 string
		handler              http.Handler
		method, target, body string
		status               int
		response             string
	}{
		{"unknown key", state, "GET", "/keys/a", "", 404, `{"epoch":0}`},
		{"lease", state, "POST", "/holds", `{"ttlMs":60000}`, 200, `{"permit":1}`},
		{"renewal", state, "POST", "/holds/1/touch", "", 200, `{}`},
		{"renewal of an unknown lease", state, "POST", "/holds/2/touch", "", 404, ""},
		{"transaction", state, "POST", "/multi", `{"then":[{"write":"a","v":7,"permit":1},{"write":"b","v":8}]}`, 200, `{"epoch":1}`},
		{"with an unknown lease", state, "POST", "/multi", `{"then":[{"write":"c","v":7,"permit":9}]}`, 400, `{"error":"no such lease"}`},
		{"conflict", state, "POST", "/multi", `{"guards":[{"k":"a","stamp":0}],"then":[]}`, 409, `{"failed":["a"],"epoch":1}`},
		{"malformed", state, "POST", "/multi", `{`, 400, `{"error":"malformed"}`},
		{"key", state, "GET", "/keys/a", "", 200, `{"k":"a","v":7,"stamp":1}`},
		{"page", state, "GET", "/keys?prefix=&limit=1", "", 200, `{"rows":[{"k":"a","v":7,"stamp":1}],"truncated":true,"epoch":1}`},
		{"end of a lease", state, "DELETE", "/holds/1", "", 200, `{}`},
		{
			"changes", state, "GET", "/changes?prefix=&since=0", "", 200,
			`{"epoch":2,"log":[{"write":"a","v":7,"stamp":1},{"write":"b","v":8,"stamp":1},{"drop":"a","stamp":2}]}`,
		},
		{"rental", machines, "POST", "/rentals", `{"hire":"r","build":"m","site":"x","howMany":1}`, 200, `{"hosts":["i-000000"]}`},
		{"repeated rental", machines, "POST", "/rentals", `{"hire":"r","build":"m","site":"x","howMany":1}`, 200, `{"hosts":["i-000000"]}`},
		{"list", machines, "GET", "/rentals?limit=10", "", 200, ""},
		{"return", machines, "POST", "/rentals/return", `{"hosts":["i-000000"]}`, 200, `{}`},
		{"malformed return", machines, "POST", "/rentals/return", `[]`, 400, `{"error":"malformed"}`},
	} {
		t.Run(x.name, func(t *testing.T) {
			status, response := request(t, x.handler, x.method, x.target, x.body)
			if status != x.status || x.response != "" && response != x.response {
				t.Errorf("answered %d %s", status, response)
			}
		})
	}
	if n := len(s.w.Cloud.WorkersByHost); n != 0 {
		t.Errorf("%d machines are left", n)
	}
}

// A watch is answered as soon as there is a change.
func TestWatchIsWoken(t *testing.T) {
	s := NewServer(newTestWorld())
	server := httptest.NewServer(s.StateHandler())
	t.Cleanup(server.Close)
	answered := make(chan string, 1)
	go func() {
		in, err := http.Get(server.URL + "/changes?prefix=&since=0&blockMs=20000")
		if err != nil {
			answered <- err.Error()
			return
		}
		defer func() { _ = in.Body.Close() }()
		b, _ := io.ReadAll(in.Body)
		answered <- string(b)
	}()
	if status, _ := request(t, s.StateHandler(), "POST", "/multi", `{"then":[{"write":"a","v":7}]}`); status != 200 {
		t.Fatalf("answered %d", status)
	}
	if got := <-answered; got != `{"epoch":1,"log":[{"write":"a","v":7,"stamp":1}]}` {
		t.Errorf("answered %s", got)
	}
}
