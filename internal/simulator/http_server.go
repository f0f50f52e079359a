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

// Server serves the state service, cloud and workers of a simulated environment over HTTP, for
// controllers that run as separate processes. The simulated clock follows real time.
type Server struct {
	mu                sync.Mutex // guards env
	env               *Environment
	storeChanged      chan struct{} // closed and replaced when the revision of the state service changes
	announcedRevision uint64        // revision of the state service when storeChanged was made
}

// NewServer returns a server of an environment, and sets the environment's clock to the current time.
func NewServer(env *Environment) *Server {
	env.Now = time.Now()
	return &Server{env: env, storeChanged: make(chan struct{})}
}

// WithLock calls f with the lock held. f may read and change the environment.
func (s *Server) WithLock(f func(env *Environment)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.env)
	s.notifyWatchers()
}

// notifyWatchers wakes waiting watches if the state service has changed. The caller must hold mu.
func (s *Server) notifyWatchers() {
	if s.env.Store.revision != s.announcedRevision {
		s.announcedRevision = s.env.Store.revision
		close(s.storeChanged)
		s.storeChanged = make(chan struct{})
	}
}

// Tick advances the simulated clock to the current time.
func (s *Server) Tick() {
	s.WithLock(func(env *Environment) {
		if elapsed := time.Since(env.Now); elapsed > 0 {
			env.Advance(elapsed)
		}
	})
}

// errorResponse is the body of the response to a request that fails.
type errorResponse struct {
	Error string `json:"error"`
}

// emptyResponse is the body of a response without content.
type emptyResponse struct{}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body := api.MustMarshal(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the client has closed the connection
}

// readJSON decodes the JSON body of a request into v and reports whether that succeeded. If not, it
// has written the error response.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, v) != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{"malformed"})
		return false
	}
	return true
}
