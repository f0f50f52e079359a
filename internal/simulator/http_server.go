package simulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"violetturn/internal/api"
)

// Server serves a world's state service, cloud and workers over HTTP, for controllers that
// run as processes of their own. The world's clock follows the real one.
type Server struct {
	mu             sync.Mutex // guards the world
	w              *Environment
	changed        chan struct{} // closed at the next change of the state service
	openedRevision uint64        // of the state service, when changed was made
}

// NewServer returns a server of a world, whose clock begins now.
func NewServer(w *Environment) *Server {
	w.Now = time.Now()
	return &Server{w: w, changed: make(chan struct{})}
}

// WithLock lets f look at the world, or change it.
func (s *Server) WithLock(f func(w *Environment)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.w)
	s.announce()
}

// announce wakes those who wait for changes if there are some. Call with the lock held.
func (s *Server) announce() {
	if s.w.Store.revision != s.openedRevision {
		s.openedRevision = s.w.Store.revision
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Tick brings the world's clock up to now.
func (s *Server) Tick() {
	s.WithLock(func(w *Environment) {
		if late := time.Since(w.Now); late > 0 {
			w.Advance(late)
		}
	})
}

// errorResponse is the body of a refusal.
type errorResponse struct {
	Error string `json:"error"`
}

// emptyResponse is the body of a response that says nothing.
type emptyResponse struct{}

// writeJSON answers a request.
func writeJSON(out http.ResponseWriter, status int, v any) {
	body := api.MustMarshal(v)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	out.WriteHeader(status)
	_, _ = out.Write(body) // a client that is gone needs no response
}

// readJSON reads the body of a request, and reports whether it could. If not, it has
// answered the request.
func readJSON(out http.ResponseWriter, in *http.Request, v any) bool {
	body, err := io.ReadAll(in.Body)
	if err != nil || json.Unmarshal(body, v) != nil {
		writeJSON(out, http.StatusBadRequest, errorResponse{"malformed"})
		return false
	}
	return true
}
