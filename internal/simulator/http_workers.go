package simulator

import (
	"net"
	"net/http"

	"violetturn/internal/api"
)

// WorkerHandler returns the handler of direct requests to workers. The local address of the
// connection identifies the worker.
func (s *Server) WorkerHandler() http.Handler {
	h := &workerHandler{server: s, client: &CommandClient{Environment: s.env}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", h.sendCommands)
	mux.HandleFunc("GET /show", h.fetchHeartbeat)
	return mux
}

// workerHandler handles direct requests to workers.
type workerHandler struct {
	server *Server
	client *CommandClient
}

func (h *workerHandler) sendCommands(w http.ResponseWriter, r *http.Request) {
	var batch api.CommandBatch
	if !readJSON(w, r, &batch) {
		return
	}
	h.server.mu.Lock()
	heartbeat, accepted, err := h.client.SendCommands(r.Context(), localAddr(r), batch)
	h.server.mu.Unlock()
	switch {
	case err != nil:
		panic(http.ErrAbortHandler) // closes the connection without a response
	case !accepted:
		writeJSON(w, http.StatusConflict, heartbeat)
	default:
		writeJSON(w, http.StatusOK, heartbeat)
	}
}

func (h *workerHandler) fetchHeartbeat(w http.ResponseWriter, r *http.Request) {
	h.server.mu.Lock()
	heartbeat, err := h.client.FetchHeartbeat(r.Context(), localAddr(r))
	h.server.mu.Unlock()
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
