package simulator

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/store"
)

// Sizes of a page of a list of keys.
const (
	maxPageBytes     = 512 << 10
	rowOverheadBytes = 32 // of a row besides key and value
)

// revisionResponse is the body of a response that says no more than the revision.
type revisionResponse struct {
	Revision uint64 `json:"epoch"`
}

// keysResponse is a page of a list of keys.
type keysResponse struct {
	Rows      []store.Item `json:"rows"`
	Truncated bool         `json:"truncated"`
	Revision  uint64       `json:"epoch"`
}

// changesResponse is the response to a watch. Each entry of the log is a dropEntry or a
// writeEntry.
type changesResponse struct {
	Revision uint64            `json:"epoch"`
	Log      []json.RawMessage `json:"log"`
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

// conflictResponse is the response to a transaction whose preconditions failed.
type conflictResponse struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

// leaseRequest asks for a lease.
type leaseRequest struct {
	TTLMS int64 `json:"ttlMs"`
}

// leaseResponse is a lease that was granted.
type leaseResponse struct {
	LeaseID uint64 `json:"permit"`
}

// StateHandler returns the handler of requests to the state service.
func (s *Server) StateHandler() http.Handler {
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
		writeJSON(out, http.StatusNotFound, revisionResponse{revision})
		return
	}
	writeJSON(out, http.StatusOK, store.Item{Key: key, Value: it.value, Version: it.version})
}

func (s *Server) listKeys(out http.ResponseWriter, in *http.Request) {
	prefix, since := in.FormValue("prefix"), in.FormValue("since")
	limit, _ := strconv.Atoi(in.FormValue("limit"))
	s.mu.Lock()
	page := keysResponse{Rows: []store.Item{}, Revision: s.w.Store.revision}
	for key, it := range s.w.Store.keys {
		if key > since && strings.HasPrefix(key, prefix) {
			page.Rows = append(page.Rows, store.Item{Key: key, Value: it.value, Version: it.version})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Rows, func(a, b store.Item) int { return cmp.Compare(a.Key, b.Key) })
	size := 0
	for i, row := range page.Rows {
		if size += len(row.Value) + len(row.Key) + rowOverheadBytes; i >= limit || size > maxPageBytes {
			page.Rows, page.Truncated = page.Rows[:i], true
			break
		}
	}
	writeJSON(out, http.StatusOK, page)
}

// changes answers a watch once there are changes, or when the time that it may block is over.
func (s *Server) changes(out http.ResponseWriter, in *http.Request) {
	since, _ := strconv.ParseUint(in.FormValue("since"), 10, 64)
	block, _ := strconv.Atoi(in.FormValue("blockMs"))
	timeout := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timeout.Stop()
	for waiting := block > 0; ; {
		s.mu.Lock()
		log, revision, err := s.w.Store.changes(in.FormValue("prefix"), since)
		changed := s.changed
		s.mu.Unlock()
		if errors.Is(err, store.ErrChangesUnavailable) { // no other error is returned
			writeJSON(out, http.StatusGone, errorResponse{err.Error()})
			return
		}
		if len(log) > 0 || !waiting {
			writeJSON(out, http.StatusOK, changesResponse{Revision: revision, Log: logEntries(log)})
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

// logEntries returns changes as a watch's response has them.
func logEntries(log []store.Change) []json.RawMessage {
	out := make([]json.RawMessage, 0, len(log))
	for _, c := range log {
		if c.DeletedKey != "" {
			out = append(out, api.MustMarshal(dropEntry{c.DeletedKey, c.Version}))
		} else {
			out = append(out, api.MustMarshal(writeEntry{c.WrittenKey, c.Value, c.Version}))
		}
	}
	return out
}

func (s *Server) commit(out http.ResponseWriter, in *http.Request) {
	var t store.Txn
	if !readJSON(out, in, &t) {
		return
	}
	s.mu.Lock()
	result, err := s.w.Store.apply(&t)
	s.announce()
	s.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrLeaseEnded):
		writeJSON(out, http.StatusBadRequest, errorResponse{"no such lease"})
	case err != nil:
		writeJSON(out, http.StatusBadRequest, errorResponse{err.Error()})
	case !result.Committed:
		writeJSON(out, http.StatusConflict, conflictResponse{result.Conflicts, result.Revision})
	default:
		writeJSON(out, http.StatusOK, revisionResponse{result.Revision})
	}
}

func (s *Server) grantLease(out http.ResponseWriter, in *http.Request) {
	var request leaseRequest
	if !readJSON(out, in, &request) {
		return
	}
	s.mu.Lock()
	leaseID := s.w.Store.grantLease(time.Duration(request.TTLMS) * time.Millisecond)
	s.mu.Unlock()
	writeJSON(out, http.StatusOK, leaseResponse{leaseID})
}

func (s *Server) renewLease(out http.ResponseWriter, in *http.Request) {
	id, _ := strconv.ParseUint(in.PathValue("id"), 10, 64)
	s.mu.Lock()
	err := s.w.Store.renewLease(id)
	s.mu.Unlock()
	if err != nil {
		writeJSON(out, http.StatusNotFound, errorResponse{err.Error()})
		return
	}
	writeJSON(out, http.StatusOK, emptyResponse{})
}

func (s *Server) revokeLease(out http.ResponseWriter, in *http.Request) {
	id, _ := strconv.ParseUint(in.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.w.Store.endLease(id)
	s.announce()
	s.mu.Unlock()
	writeJSON(out, http.StatusOK, emptyResponse{})
}
