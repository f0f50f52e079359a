package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answer writes a response with a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status, encoded = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// fields is a JSON object.
type fields map[string]any

// handler returns the interface of the state service.
func (s *stateService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys/{key...}", s.getKey)
	mux.HandleFunc("GET /keys", s.getKeys)
	mux.HandleFunc("GET /changes", s.getChanges)
	mux.HandleFunc("POST /multi", s.postMulti)
	mux.HandleFunc("POST /holds", s.postHold)
	mux.HandleFunc("POST /holds/{id}/touch", s.touchHold)
	mux.HandleFunc("DELETE /holds/{id}", s.deleteHold)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(stateLatency)
		s.mu.Lock()
		served := s.requests.take(1)
		s.mu.Unlock()
		if !served {
			answer(w, http.StatusTooManyRequests, fields{"error": "too many requests"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *stateService) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e, found := s.keys[r.PathValue("key")]
	epoch := s.epoch
	s.mu.Unlock()
	if !found {
		answer(w, http.StatusNotFound, fields{"epoch": epoch})
		return
	}
	body := fields{"k": e.Key, "v": e.Value, "stamp": e.Stamp}
	if e.permit != 0 {
		body["permit"] = e.permit
	}
	answer(w, http.StatusOK, body)
}

func (s *stateService) getKeys(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		answer(w, http.StatusBadRequest, fields{"error": "limit"})
		return
	}
	s.mu.Lock()
	rows, truncated := s.list(r.FormValue("prefix"), r.FormValue("since"), limit)
	epoch := s.epoch
	s.mu.Unlock()
	answer(w, http.StatusOK, fields{"rows": rows, "truncated": truncated, "epoch": epoch})
}

// getChanges answers a watch once there are changes, or when its time has run out.
func (s *stateService) getChanges(w http.ResponseWriter, r *http.Request) {
	epoch, _ := strconv.ParseUint(r.FormValue("since"), 10, 64)
	block, _ := strconv.Atoi(r.FormValue("blockMs"))
	deadline := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		changes, ok := s.since(r.FormValue("prefix"), epoch)
		now, changed := s.epoch, s.changed
		s.mu.Unlock()
		switch {
		case !ok:
			answer(w, http.StatusGone, fields{"error": "too old"})
			return
		case len(changes) > 0 || !time.Now().Before(deadline):
			answer(w, http.StatusOK, fields{"epoch": now, "log": changes})
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *stateService) postMulti(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || json.Unmarshal(body, &t) != nil {
		answer(w, http.StatusBadRequest, fields{"error": "malformed"})
		return
	}
	s.mu.Lock()
	if !s.writes.take(float64(len(t.Then))) {
		s.mu.Unlock()
		answer(w, http.StatusTooManyRequests, fields{"error": "too many changes"})
		return
	}
	status, failed, text := s.multi(&t, len(body))
	epoch := s.epoch
	s.mu.Unlock()
	switch status {
	case http.StatusOK:
		answer(w, status, fields{"epoch": epoch})
	case http.StatusConflict:
		answer(w, status, fields{"failed": failed, "epoch": epoch})
	default:
		answer(w, status, fields{"error": text})
	}
}

func (s *stateService) postHold(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTLMS < 100 || body.TTLMS > 600_000 {
		answer(w, http.StatusBadRequest, fields{"error": "ttlMs"})
		return
	}
	s.mu.Lock()
	s.lastHold++
	id, ttl := s.lastHold, time.Duration(body.TTLMS)*time.Millisecond
	s.holds[id] = &hold{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, fields{"permit": id})
}

func (s *stateService) touchHold(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	h := s.holds[id]
	if h != nil {
		h.end = time.Now().Add(h.ttl)
	}
	s.mu.Unlock()
	if h == nil {
		answer(w, http.StatusNotFound, fields{"error": "no such lease"})
		return
	}
	answer(w, http.StatusOK, fields{})
}

func (s *stateService) deleteHold(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endHold(id)
	s.mu.Unlock()
	answer(w, http.StatusOK, fields{})
}
