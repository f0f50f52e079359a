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

// Sizes that limit a page of a list of keys.
const (
	maxPageBytes     = 512 << 10
	rowOverheadBytes = 32 // estimated size of a row without its key and value
)

// Limits of PROTOCOL on the numbers in requests, in milliseconds.
const (
	maxBlockMS = 60_000
	minLeaseMS = 100
	maxLeaseMS = 600_000
)

// revisionResponse is the body of a response with only the revision.
type revisionResponse struct {
	Revision uint64 `json:"epoch"`
}

// keysResponse is a page of a list of keys.
type keysResponse struct {
	Rows      []store.Item `json:"rows"`
	Truncated bool         `json:"truncated"`
	Revision  uint64       `json:"epoch"`
}

// changesResponse is the response to a watch request. Each entry of its log is a deleteEntry or a
// writeEntry.
type changesResponse struct {
	Revision uint64            `json:"epoch"`
	Log      []json.RawMessage `json:"log"`
}

// deleteEntry is the deletion of a key in the change log.
type deleteEntry struct {
	Key     string `json:"drop"`
	Version uint64 `json:"stamp"`
}

// writeEntry is the write of a key in the change log.
type writeEntry struct {
	Key     string          `json:"write"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
}

// conflictResponse is the response to a transaction whose preconditions failed.
type conflictResponse struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

// leaseRequest is the body of a request for a lease.
type leaseRequest struct {
	TTLMS int64 `json:"ttlMs"`
}

// leaseResponse is the body of the response with a granted lease.
type leaseResponse struct {
	LeaseID uint64 `json:"permit"`
}

// StateHandler returns the handler of requests to the state service.
func (s *Server) StateHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys/{key...}", s.getKey)
	mux.HandleFunc("GET /keys", s.listKeys)
	mux.HandleFunc("GET /changes", s.watchChanges)
	mux.HandleFunc("POST /multi", s.commit)
	mux.HandleFunc("POST /holds", s.grantLease)
	mux.HandleFunc("POST /holds/{id}/touch", s.renewLease)
	mux.HandleFunc("DELETE /holds/{id}", s.revokeLease)
	return mux
}

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	stored, found := s.env.Store.keys[key]
	revision := s.env.Store.revision
	s.mu.Unlock()
	if !found {
		writeJSON(w, http.StatusNotFound, revisionResponse{revision})
		return
	}
	writeJSON(w, http.StatusOK, store.Item{Key: key, Value: stored.value, Version: stored.version})
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
	prefix, since := r.FormValue("prefix"), r.FormValue("since")
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	s.mu.Lock()
	page := keysResponse{Rows: []store.Item{}, Revision: s.env.Store.revision}
	for key, stored := range s.env.Store.keys {
		if key > since && strings.HasPrefix(key, prefix) {
			page.Rows = append(page.Rows, store.Item{Key: key, Value: stored.value, Version: stored.version})
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
	writeJSON(w, http.StatusOK, page)
}

// watchChanges responds to a watch request as soon as there are changes, or without changes when
// the time for which the request may block has passed.
func (s *Server) watchChanges(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.FormValue("since"), 10, 64)
	blockMS, _ := strconv.Atoi(r.FormValue("blockMs"))
	if blockMS < 0 || blockMS > maxBlockMS {
		writeJSON(w, http.StatusBadRequest, errorResponse{"blockMs out of range"})
		return
	}
	timeout := time.NewTimer(time.Duration(blockMS) * time.Millisecond)
	defer timeout.Stop()
	for waiting := blockMS > 0; ; {
		s.mu.Lock()
		changes, revision, err := s.env.Store.changes(r.FormValue("prefix"), since)
		changed := s.storeChanged
		s.mu.Unlock()
		if errors.Is(err, store.ErrChangesUnavailable) { // Store.changes returns no other error
			writeJSON(w, http.StatusGone, errorResponse{err.Error()})
			return
		}
		if len(changes) > 0 || !waiting {
			writeJSON(w, http.StatusOK, changesResponse{Revision: revision, Log: logEntries(changes)})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// logEntries encodes changes for the response to a watch request.
func logEntries(changes []store.Change) []json.RawMessage {
	entries := make([]json.RawMessage, 0, len(changes))
	for _, c := range changes {
		if c.DeletedKey != "" {
			entries = append(entries, api.MustMarshal(deleteEntry{c.DeletedKey, c.Version}))
		} else {
			entries = append(entries, api.MustMarshal(writeEntry{c.WrittenKey, c.Value, c.Version}))
		}
	}
	return entries
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn store.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	s.mu.Lock()
	result, err := s.env.Store.apply(&txn)
	s.notifyWatchers()
	s.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrLeaseEnded):
		writeJSON(w, http.StatusBadRequest, errorResponse{"no such lease"})
	case err != nil:
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
	case !result.Committed:
		writeJSON(w, http.StatusConflict, conflictResponse{result.Conflicts, result.Revision})
	default:
		writeJSON(w, http.StatusOK, revisionResponse{result.Revision})
	}
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if !readJSON(w, r, &request) {
		return
	}
	if request.TTLMS < minLeaseMS || request.TTLMS > maxLeaseMS {
		writeJSON(w, http.StatusBadRequest, errorResponse{"ttlMs out of range"})
		return
	}
	s.mu.Lock()
	leaseID := s.env.Store.grantLease(time.Duration(request.TTLMS) * time.Millisecond)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, leaseResponse{leaseID})
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	err := s.env.Store.renewLease(id)
	s.mu.Unlock()
	if err != nil {
		writeJSON(w, http.StatusNotFound, errorResponse{err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, emptyResponse{})
}

func (s *Server) revokeLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.env.Store.endLease(id)
	s.notifyWatchers()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, emptyResponse{})
}
