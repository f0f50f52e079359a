package simulator

import (
	"net"
	"net/http"

	"violetturn/internal/api"
)

// WorkerHandler returns the handler of direct requests to workers. Which worker is meant shows in
// the address that was connected to.
func (s *Server) WorkerHandler() http.Handler {
	h := &workersHandler{s: s, client: &CommandClient{Environment: s.w}}
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

func (h *workersHandler) commands(out http.ResponseWriter, in *http.Request) {
	var o api.CommandBatch
	if !readJSON(out, in, &o) {
		return
	}
	h.s.mu.Lock()
	heartbeat, obeyed, err := h.client.SendCommands(in.Context(), localAddr(in), o)
	h.s.mu.Unlock()
	switch {
	case err != nil:
		panic(http.ErrAbortHandler) // no response
	case !obeyed:
		writeJSON(out, http.StatusConflict, heartbeat)
	default:
		writeJSON(out, http.StatusOK, heartbeat)
	}
}

func (h *workersHandler) status(out http.ResponseWriter, in *http.Request) {
	h.s.mu.Lock()
	heartbeat, err := h.client.FetchHeartbeat(in.Context(), localAddr(in))
	h.s.mu.Unlock()
	if err != nil {
		panic(http.ErrAbortHandler) // no response
	}
	writeJSON(out, http.StatusOK, heartbeat)
}

// localAddr returns the address that a request was sent to.
func localAddr(in *http.Request) string {
	local, _ := in.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return local.String()
}
