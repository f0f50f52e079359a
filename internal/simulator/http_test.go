package simulator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// sendRequest sends a request to a handler and returns the response's status and body.
func sendRequest(t *testing.T, h http.Handler, method, target, body string) (status int, response string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
	b, err := io.ReadAll(recorder.Result().Body)
	if err != nil {
		t.Fatalf("reading the response to %s %s: %v", method, target, err)
	}
	return recorder.Code, string(b)
}

// The state service and the cloud respond with the statuses and bodies that PROTOCOL defines.
func TestServerResponses(t *testing.T) {
	s := NewServer(newTestEnvironment())
	state, cloud := s.StateHandler(), s.CloudHandler(7000)
	for _, test := range []struct {
		name                 string
		handler              http.Handler
		method, target, body string
		wantStatus           int
		wantResponse         string
	}{
		{"unknown key", state, "GET", "/keys/a", "", 404, `{"epoch":0}`},
		{"lease", state, "POST", "/holds", `{"ttlMs":60000}`, 200, `{"permit":1}`},
		{"renewal", state, "POST", "/holds/1/touch", "", 200, `{}`},
		{"renewal of an unknown lease", state, "POST", "/holds/2/touch", "", 404, ""},
		{"transaction", state, "POST", "/multi", `{"then":[{"write":"a","v":7,"permit":1},{"write":"b","v":8}]}`, 200, `{"epoch":1}`},
		{"unknown lease", state, "POST", "/multi", `{"then":[{"write":"c","v":7,"permit":9}]}`, 400, `{"error":"no such lease"}`},
		{"conflict", state, "POST", "/multi", `{"guards":[{"k":"a","stamp":0}],"then":[]}`, 409, `{"failed":["a"],"epoch":1}`},
		{"malformed", state, "POST", "/multi", `{`, 400, `{"error":"malformed"}`},
		{"key", state, "GET", "/keys/a", "", 200, `{"k":"a","v":7,"stamp":1}`},
		{"page", state, "GET", "/keys?prefix=&limit=1", "", 200, `{"rows":[{"k":"a","v":7,"stamp":1}],"truncated":true,"epoch":1}`},
		{"revocation of a lease", state, "DELETE", "/holds/1", "", 200, `{}`},
		{
			"changes", state, "GET", "/changes?prefix=&since=0", "", 200,
			`{"epoch":2,"log":[{"write":"a","v":7,"stamp":1},{"write":"b","v":8,"stamp":1},{"drop":"a","stamp":2}]}`,
		},
		{"rental", cloud, "POST", "/rentals", `{"hire":"r","build":"m","site":"x","howMany":1}`, 200, `{"hosts":["i-000000"]}`},
		{"repeated rental", cloud, "POST", "/rentals", `{"hire":"r","build":"m","site":"x","howMany":1}`, 200, `{"hosts":["i-000000"]}`},
		{"list", cloud, "GET", "/rentals?limit=10", "", 200, ""},
		{"return", cloud, "POST", "/rentals/return", `{"hosts":["i-000000"]}`, 200, `{}`},
		{"malformed return", cloud, "POST", "/rentals/return", `[]`, 400, `{"error":"malformed"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, response := sendRequest(t, test.handler, test.method, test.target, test.body)
			if status != test.wantStatus || test.wantResponse != "" && response != test.wantResponse {
				t.Errorf("%s %s: got %d %s, want %d %s", test.method, test.target, status, response, test.wantStatus, test.wantResponse)
			}
		})
	}
	if n := len(s.env.Cloud.WorkersByHost); n != 0 {
		t.Errorf("%d machines remain after their return, want 0", n)
	}
}

// A blocked watch request gets its response as soon as there is a change.
func TestWatchRespondsToChange(t *testing.T) {
	s := NewServer(newTestEnvironment())
	server := httptest.NewServer(s.StateHandler())
	t.Cleanup(server.Close)
	responses := make(chan string, 1)
	go func() {
		resp, err := http.Get(server.URL + "/changes?prefix=&since=0&blockMs=20000")
		if err != nil {
			responses <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		b, _ := io.ReadAll(resp.Body)
		responses <- string(b)
	}()
	if status, _ := sendRequest(t, s.StateHandler(), "POST", "/multi", `{"then":[{"write":"a","v":7}]}`); status != 200 {
		t.Fatalf("transaction: got status %d, want 200", status)
	}
	if got := <-responses; got != `{"epoch":1,"log":[{"write":"a","v":7,"stamp":1}]}` {
		t.Errorf("watch response is %s, want one write of key a", got)
	}
}
