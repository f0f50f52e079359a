package simulator

import (
	"net"
	"net/http"

	"violetturn/internal/api"
)

// WorkerHandler returns the handler of direct requests to workers. The local address of the connection
// identifies the worker.
func (s *Server) WorkerHandler() http.Handler {
	h := &workersHandler{s: s, client: &CommandClient{Environment: s.env}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", h.commands)
	mux.HandleFunc("GET /show", h.status)
	return mux
}

// workersHandler handles direct requests to workers.
type workersHandler struct {
	s      *Server
	client *CommandClient
}

func (h *workersHandler) commands(w http.ResponseWriter, r *http.Request) {
	var batch api.CommandBatch
	if !readJSON(w, r, &batch) {
		return
	}
	h.s.mu.Lock()
	heartbeat, accepted, err := h.client.SendCommands(r.Context(), localAddr(r), batch)
	h.s.mu.Unlock()
	switch {
	case err != nil:
		panic(http.ErrAbortHandler) // closes the connection without a response
	case !accepted:
		writeJSON(w, http.StatusConflict, heartbeat)
	default:
		writeJSON(w, http.StatusOK, heartbeat)
	}
}

func (h *workersHandler) status(w http.ResponseWriter, r *http.Request) {
	h.s.mu.Lock()
	heartbeat, err := h.client.FetchHeartbeat(r.Context(), localAddr(r))
	h.s.mu.Unlock()
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	writeJSON(w, http.StatusOK, heartbeat)
}

// localAddr returns the local address of a request's connection.
func localAddr(r *http.Request) string {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return local.String()
}
