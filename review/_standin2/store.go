package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// A row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row-version"`
	Removed bool   `json:"removed,omitempty"`
}

// A store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[string]row
	history []row
}

func newStore() (*store, error) {
	s := &store{changed: make(chan struct{}), rows: make(map[string]row)}
	return s, s.listen()
}

// listen serves the store at a new address. The earlier one stays until close is called.
func (s *store) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	server := &http.Server{Handler: mux}
	s.address, s.server = listener.Addr().String(), server
	go func() { _ = server.Serve(listener) }() // It ends with close or with the process.
	return nil
}

// move serves the store at a new address, and no longer at the earlier one after a time.
func (s *store) move(after time.Duration) error {
	earlier := s.server
	if err := s.listen(); err != nil {
		return err
	}
	time.AfterFunc(after, func() { _ = earlier.Close() }) // Calls in progress end without an answer.
	return nil
}

// write writes a row as the operator does.
func (s *store) write(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: value})
}

// put stores a row in the current version; mu must be held.
func (s *store) put(r row) {
	r.Version = s.version
	key := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []row `json:"precondition"`
		Writes     []row `json:"writes"`
		Deletes    []row `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.rows[c.Table+"\x00"+c.Part+"\x00"+c.Key].Version != c.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.reply(w, nil)
			return
		}
	}
	s.version++
	for _, written := range t.Writes {
		s.put(written)
	}
	for _, deleted := range t.Deletes {
		deleted.Removed = true
		s.put(deleted)
	}
	s.reply(w, nil)
}

// reply writes rows and the newest version; mu must be held.
func (s *store) reply(w http.ResponseWriter, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	now := strconv.FormatInt(time.Since(started).Milliseconds(), 10) + "ms"
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has-more": false, "row-version": s.version, "now": now})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, one := range s.rows {
		if one.Table == query.Get("table") && one.Part == query.Get("part") && one.Key >= query.Get("from") {
			rows = append(rows, one)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.reply(w, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		var rows []row
		for _, one := range s.history {
			if one.Table == query.Get("table") && one.Version > after {
				rows = append(rows, one)
			}
		}
		if len(rows) > 0 || ended {
			s.reply(w, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
