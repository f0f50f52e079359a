package simulator

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/store"
)

// Server serves a world's state service, cloud and workers over HTTP, for controllers
// that run as processes of their own. The world's clock follows the real one.
type Server struct {
	mu      sync.Mutex // guards the world
	w       *World
	changed chan struct{} // closed at the next change of the state service
	began   uint64        // its revision when changed was made
}

// NewServer makes a server. The world's clock begins now.
func NewServer(w *World) *Server {
	w.Now = time.Now()
	return &Server{w: w, changed: make(chan struct{})}
}

// With lets f look at the world, or change it.
func (s *Server) With(f func(w *World)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.w)
	s.announce()
}

// announce wakes those who wait for changes if there are some. Call with the lock held.
func (s *Server) announce() {
	if s.w.Store.revision != s.began {
		s.began = s.w.Store.revision
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Tick brings the world's clock up to now.
func (s *Server) Tick() {
	s.With(func(w *World) {
		if late := time.Since(w.Now); late > 0 {
			w.Advance(late)
		}
	})
}

func answerJSON(out http.ResponseWriter, status int, v any) {
	body := api.JSON(v)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	out.WriteHeader(status)
	_, _ = out.Write(body) // a client that is gone needs no answer
}

func readJSON(in *http.Request, v any) bool {
	body, err := io.ReadAll(in.Body)
	return err == nil && json.Unmarshal(body, v) == nil
}

type errorAnswer struct {
	Error string `json:"error"`
}

var malformed = errorAnswer{"malformed"}

// State handles requests to the state service.
func (s *Server) State() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys/{key...}", s.getKey)
	mux.HandleFunc("GET /keys", s.listKeys)
	mux.HandleFunc("GET /changes", s.changes)
	mux.HandleFunc("POST /multi", s.commit)
	mux.HandleFunc("POST /holds", s.grantLease)
	mux.HandleFunc("POST /holds/{id}/touch", s.renewLease)
	mux.HandleFunc("DELETE /holds/{id}", s.revokeLease)
	return mux
}

func (s *Server) getKey(out http.ResponseWriter, in *http.Request) {
	key := in.PathValue("key")
	s.mu.Lock()
	it, found := s.w.Store.keys[key]
	revision := s.w.Store.revision
	s.mu.Unlock()
	if !found {
		answerJSON(out, 404, map[string]uint64{"epoch": revision})
		return
	}
	answerJSON(out, 200, store.Item{Key: key, Value: it.v, Version: it.version})
}

// keyPage is a page of a list of keys.
type keyPage struct {
	Rows      []store.Item `json:"rows"`
	Truncated bool         `json:"truncated"`
	Revision  uint64       `json:"epoch"`
}

func (s *Server) listKeys(out http.ResponseWriter, in *http.Request) {
	const mostBytes = 512 << 10
	prefix, since := in.FormValue("prefix"), in.FormValue("since")
	limit, _ := strconv.Atoi(in.FormValue("limit"))
	s.mu.Lock()
	page := keyPage{Rows: []store.Item{}, Revision: s.w.Store.revision}
	for key, it := range s.w.Store.keys {
		if key > since && strings.HasPrefix(key, prefix) {
			page.Rows = append(page.Rows, store.Item{Key: key, Value: it.v, Version: it.version})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Rows, func(a, b store.Item) int { return cmp.Compare(a.Key, b.Key) })
	size := 0
	for i, row := range page.Rows {
		if size += len(row.Value) + len(row.Key) + 32; i >= limit || size > mostBytes {
			page.Rows, page.Truncated = page.Rows[:i], true
			break
		}
	}
	answerJSON(out, 200, page)
}

// changeLog is the answer to a watch.
type changeLog struct {
	Revision uint64 `json:"epoch"`
	Log      []any  `json:"log"`
}

// dropEntry is a dropped key in a log of changes.
type dropEntry struct {
	Drop    string `json:"drop"`
	Version uint64 `json:"stamp"`
}

// writeEntry is a written key in a log of changes.
type writeEntry struct {
	Write   string          `json:"write"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
}

func (s *Server) changes(out http.ResponseWriter, in *http.Request) {
	since, _ := strconv.ParseUint(in.FormValue("since"), 10, 64)
	block, _ := strconv.Atoi(in.FormValue("blockMs"))
	timeout := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timeout.Stop()
	client := Client{S: s.w.Store}
	for waiting := block > 0; ; {
		s.mu.Lock()
		log, revision, err := client.Changes(in.Context(), in.FormValue("prefix"), since, 0)
		changed := s.changed
		s.mu.Unlock()
		if errors.Is(err, store.ErrTooOld) { // nothing else is refused here
			answerJSON(out, http.StatusGone, errorAnswer{err.Error()})
			return
		}
		if len(log) > 0 || !waiting {
			answer := changeLog{Revision: revision, Log: []any{}}
			for _, e := range log {
				if e.Drop != "" {
					answer.Log = append(answer.Log, dropEntry{e.Drop, e.Version})
				} else {
					answer.Log = append(answer.Log, writeEntry{e.Write, e.Value, e.Version})
				}
			}
			answerJSON(out, 200, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-in.Context().Done():
			return
		}
	}
}

func (s *Server) commit(out http.ResponseWriter, in *http.Request) {
	var t store.Txn
	if !readJSON(in, &t) {
		answerJSON(out, 400, malformed)
		return
	}
	s.mu.Lock()
	revision, ok, failed, err := s.w.Store.apply(&t)
	s.announce()
	s.mu.Unlock()
	switch {
	case err == store.ErrNoLease:
		answerJSON(out, 400, errorAnswer{"no such lease"})
	case err != nil:
		answerJSON(out, 400, errorAnswer{err.Error()})
	case !ok:
		answerJSON(out, 409, map[string]any{"failed": failed, "epoch": revision})
	default:
		answerJSON(out, 200, map[string]uint64{"epoch": revision})
	}
}

func (s *Server) grantLease(out http.ResponseWriter, in *http.Request) {
	var ask struct {
		TTL int64 `json:"ttlMs"`
	}
	if !readJSON(in, &ask) {
		answerJSON(out, 400, malformed)
		return
	}
	s.mu.Lock()
	client := Client{S: s.w.Store}
	leaseID, _ := client.GrantLease(in.Context(), time.Duration(ask.TTL)*time.Millisecond) // nothing is refused here
	s.mu.Unlock()
	answerJSON(out, 200, map[string]uint64{"permit": leaseID})
}

func (s *Server) renewLease(out http.ResponseWriter, in *http.Request) {
	id, _ := strconv.ParseUint(in.PathValue("id"), 10, 64)
	s.mu.Lock()
	client := Client{S: s.w.Store}
	err := client.RenewLease(in.Context(), id)
	s.mu.Unlock()
	if err != nil {
		answerJSON(out, 404, errorAnswer{err.Error()})
		return
	}
	answerJSON(out, 200, struct{}{})
}

func (s *Server) revokeLease(out http.ResponseWriter, in *http.Request) {
	id, _ := strconv.ParseUint(in.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.w.Store.endLease(id)
	s.announce()
	s.mu.Unlock()
	answerJSON(out, 200, struct{}{})
}

// Cloud handles requests to the cloud. Machines get addresses of the loopback network,
// one each, at the given port.
func (s *Server) Cloud(port int) http.Handler {
	mux := http.NewServeMux()
	client := CloudClient{C: s.w.Cloud}
	mux.HandleFunc("GET /flavors", func(out http.ResponseWriter, in *http.Request) {
		s.mu.Lock()
		flavors, _ := client.MachineTypes(in.Context()) // nothing is refused here
		s.mu.Unlock()
		answerJSON(out, 200, map[string]any{"builds": flavors})
	})
	mux.HandleFunc("POST /rentals", func(out http.ResponseWriter, in *http.Request) {
		var r cloud.RentalRequest
		if !readJSON(in, &r) {
			answerJSON(out, 400, malformed)
			return
		}
		s.mu.Lock()
		hosts, err := client.Rent(in.Context(), r)
		for _, host := range hosts {
			s.w.Cloud.Hosts[host].Addr = loopbackOf(host, port)
		}
		s.mu.Unlock()
		if err != nil {
			answerJSON(out, 503, errorAnswer{err.Error()})
			return
		}
		answerJSON(out, 200, map[string][]string{"hosts": hosts})
	})
	mux.HandleFunc("POST /rentals/return", func(out http.ResponseWriter, in *http.Request) {
		var r struct {
			Hosts []string `json:"hosts"`
		}
		if !readJSON(in, &r) {
			answerJSON(out, 400, malformed)
			return
		}
		s.mu.Lock()
		_ = client.Return(in.Context(), r.Hosts) // nothing is refused here
		s.mu.Unlock()
		answerJSON(out, 200, struct{}{})
	})
	mux.HandleFunc("GET /rentals", func(out http.ResponseWriter, in *http.Request) {
		limit, _ := strconv.Atoi(in.FormValue("limit"))
		s.mu.Lock()
		page, more := s.w.Cloud.page(in.FormValue("since"), limit)
		s.mu.Unlock()
		answerJSON(out, 200, map[string]any{"hosts": page, "truncated": more})
	})
	return mux
}

// loopbackOf returns a machine an address of its own.
func loopbackOf(host string, port int) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(host, "i-"))
	ip := net.IPv4(127, 1, byte(n>>8), byte(n))
	return net.JoinHostPort(ip.String(), strconv.Itoa(port))
}

// Workers handles direct commands. Which worker is meant shows in the address that was
// connected to.
func (s *Server) Workers() http.Handler {
	mux := http.NewServeMux()
	direct := &CommandClient{W: s.w}
	addr := func(in *http.Request) string {
		local, _ := in.Context().Value(http.LocalAddrContextKey).(net.Addr)
		return local.String()
	}
	mux.HandleFunc("POST /commands", func(out http.ResponseWriter, in *http.Request) {
		var o api.CommandBatch
		if !readJSON(in, &o) {
			answerJSON(out, 400, malformed)
			return
		}
		s.mu.Lock()
		report, ok, err := direct.SendCommands(in.Context(), addr(in), o)
		s.mu.Unlock()
		switch {
		case err != nil:
			panic(http.ErrAbortHandler) // no answer
		case !ok:
			answerJSON(out, 409, report)
		default:
			answerJSON(out, 200, report)
		}
	})
	mux.HandleFunc("GET /show", func(out http.ResponseWriter, in *http.Request) {
		s.mu.Lock()
		report, err := direct.Status(in.Context(), addr(in))
		s.mu.Unlock()
		if err != nil {
			panic(http.ErrAbortHandler) // no answer
		}
		answerJSON(out, 200, report)
	})
	return mux
}
