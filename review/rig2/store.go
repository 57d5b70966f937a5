package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store, as the users' pages describe it.
type store struct {
	mu       sync.Mutex
	era      int
	revision uint64
	// oldest is the revision from which the history is complete.
	oldest  uint64
	items   map[string]item
	leases  map[uint64]lease
	history []event
	changed chan struct{}
	busy    bool
}

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev"`
	Lease      uint64 `json:"lease"`
}

type event struct {
	item
	Removed bool `json:"removed,omitempty"`
}

type lease struct {
	length time.Duration
	end    time.Time
}

// copyOfStore is a copy from which the store can come back.
type copyOfStore struct {
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
}

func newStore() *store {
	return &store{era: 1, revision: 1, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
}

// setBusy lets the store answer 503 to all calls, which then do nothing.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.notify()
}

func (s *store) copy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyOfStore{revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases)}
}

// restore lets the store come back from a copy.
func (s *store) restore(c copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.oldest, s.history = c.revision, c.revision, nil
	s.items, s.leases = maps.Clone(c.items), maps.Clone(c.leases)
	s.notify()
}

// keys returns the keys with the prefix in order.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysLocked(prefix)
}

func (s *store) keysLocked(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *store) putAsOperator(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, CreatedRev: created, Lease: leaseID}
	s.history = append(s.history, event{item: s.items[key]})
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, Removed: true})
	s.notify()
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range s.keysLocked("") {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// ServeHTTP serves the calls of the daemons.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	busy := s.busy
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name, argument, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/teaseltack/"), "/")
	switch name {
	case "kv-range":
		s.serveRange(w, r)
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease":
		s.serveLease(w, r)
	case "kv-keep", "kv-lease-end":
		s.serveLeaseCall(w, name, argument)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for _, key := range s.keysLocked(r.URL.Query().Get("prefix")) {
		if key > r.URL.Query().Get("after") {
			items = append(items, s.items[key])
		}
	}
	writeJSON(w, map[string]any{"items": items, "truncated": false, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.busy {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.oldest || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []item
	conflict := false
	for _, e := range txn.Expect {
		conflict = conflict || s.items[e.Key].Revision != e.Revision
		if found, ok := s.items[e.Key]; ok {
			current = append(current, found)
		}
	}
	if conflict {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTL < 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	length := time.Duration(request.TTL * float64(time.Second))
	s.leases[s.revision] = lease{length: length, end: time.Now().Add(length)}
	writeJSON(w, map[string]any{"lease": s.revision, "ttl_s_time": request.TTL})
}

func (s *store) serveLeaseCall(w http.ResponseWriter, name, argument string) {
	id, _ := strconv.ParseUint(argument, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if name == "kv-lease-end" {
		s.endLease(id)
		return
	}
	s.leases[id] = lease{length: l.length, end: time.Now().Add(l.length)}
	writeJSON(w, map[string]any{"ttl_s_time": l.length.Seconds()})
}
