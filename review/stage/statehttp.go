package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Limits of a page of a list, as PROTOCOL states.
const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
)

// stateHandler serves the state service to one controller.
type stateHandler struct {
	*stateService
	controller string
}

// handlerFor returns the handler of one controller's requests.
func (s *stateService) handlerFor(controller string) http.Handler {
	h := &stateHandler{s, controller}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys/{key...}", h.admit(h.get))
	mux.HandleFunc("GET /keys", h.admit(h.listPage))
	mux.HandleFunc("GET /changes", h.admit(h.watch))
	mux.HandleFunc("POST /multi", h.multi)
	mux.HandleFunc("POST /holds", h.admit(h.grant))
	mux.HandleFunc("POST /holds/{id}/touch", h.admit(h.touch))
	mux.HandleFunc("DELETE /holds/{id}", h.admit(h.end))
	return mux
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status, encoded = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// admit refuses requests above the rate limit and applies the disruption of this controller.
func (h *stateHandler) admit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		admitted, before := h.requests.take(1), h.before[h.controller]
		h.mu.Unlock()
		if !admitted {
			reply(w, http.StatusTooManyRequests, map[string]string{"error": "refused"})
			return
		}
		if before != nil {
			before(r)
		}
		next(w, r)
	}
}

func (h *stateHandler) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	h.mu.Lock()
	stored, found := h.keys[key]
	epoch := h.epoch
	h.mu.Unlock()
	if !found {
		reply(w, http.StatusNotFound, map[string]any{"epoch": epoch})
		return
	}
	body := map[string]any{"k": key, "v": stored.Value, "stamp": stored.Stamp}
	if stored.Hold != 0 {
		body["permit"] = stored.Hold
	}
	reply(w, http.StatusOK, body)
}

func (h *stateHandler) listPage(w http.ResponseWriter, r *http.Request) {
	limit := maxPageItems
	if n, err := strconv.Atoi(r.FormValue("limit")); err == nil {
		limit = min(limit, n)
	}
	h.mu.Lock()
	rows, size, truncated := []map[string]any{}, 0, false
	for _, key := range h.list(r.FormValue("prefix"), r.FormValue("since")) {
		stored := h.keys[key]
		size += len(key) + len(stored.Value) + 40
		if len(rows) == limit || size > maxPageBytes {
			truncated = true
			break
		}
		rows = append(rows, map[string]any{"k": key, "v": stored.Value, "stamp": stored.Stamp})
	}
	epoch := h.epoch
	h.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "epoch": epoch})
}

func (h *stateHandler) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.FormValue("since"), 10, 64)
	blockMS, _ := strconv.Atoi(r.FormValue("blockMs"))
	if err != nil || blockMS < 0 || blockMS > 60_000 {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	timeout := time.After(time.Duration(blockMS) * time.Millisecond)
	for waiting := blockMS > 0; ; {
		h.mu.Lock()
		changes, ok := h.changesSince(r.FormValue("prefix"), since)
		epoch, changed := h.epoch, h.changed
		h.mu.Unlock()
		switch {
		case !ok:
			reply(w, http.StatusGone, map[string]string{"error": "too old"})
			return
		case len(changes) > 0 || !waiting:
			reply(w, http.StatusOK, map[string]any{"epoch": epoch, "log": changes})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (h *stateHandler) multi(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || len(body) > 64<<10 || json.Unmarshal(body, &t) != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	h.mu.Lock()
	result := txnResult{http.StatusTooManyRequests, map[string]any{"error": "refused"}}
	if h.requests.take(1) && h.writes.take(float64(len(t.Then))) {
		result = h.apply(&t)
	}
	h.mu.Unlock()
	reply(w, result.status, result.body)
}

func (h *stateHandler) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTLMS < 100 || body.TTLMS > 600_000 {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	h.mu.Lock()
	h.lastHold++
	id, ttl := h.lastHold, time.Duration(body.TTLMS)*time.Millisecond
	h.holds[id] = &hold{h.controller, ttl, time.Now().Add(ttl)}
	h.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"permit": id})
}

func (h *stateHandler) touch(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	h.mu.Lock()
	renewed := h.holds[id]
	if renewed != nil {
		renewed.end = time.Now().Add(renewed.ttl)
	}
	h.mu.Unlock()
	if renewed == nil {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (h *stateHandler) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	h.mu.Lock()
	if h.holds[id] != nil {
		h.endHold(id)
	}
	h.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}
