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

// A row is one row of the store, as on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row-version"`
	Removed bool   `json:"removed,omitempty"`
}

// A store is a stand-in of the platform's metadata store: one history, linearizable,
// always available.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[string]row
	history []row
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, changed: make(chan struct{}), rows: make(map[string]row)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value})
	s.notify()
}

func (s *store) apply(r row) {
	r.Version = s.version
	if r.Removed {
		delete(s.rows, r.Table+"/"+r.Key)
	} else {
		s.rows[r.Table+"/"+r.Key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []row `json:"precondition"`
		Writes     []row `json:"writes"`
		Deletes    []row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond) // The time of a transaction in the small site files.
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Conditions {
		if s.rows[c.Table+"/"+c.Key].Version != c.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.reply(w, []row{})
			return
		}
	}
	s.version++
	for _, change := range tx.Writes {
		s.apply(change)
	}
	for _, change := range tx.Deletes {
		change.Removed = true
		s.apply(change)
	}
	s.notify()
	s.reply(w, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, candidate := range s.rows {
		if candidate.Table == r.FormValue("table") && candidate.Key >= r.FormValue("from") {
			rows = append(rows, candidate)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.reply(w, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		rows := []row{}
		for _, candidate := range s.history {
			if candidate.Table == r.FormValue("table") && candidate.Version > after {
				rows = append(rows, candidate)
			}
		}
		changed := s.changed
		if len(rows) > 0 || !waiting {
			s.reply(w, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
	}
}

// reply writes rows with the newest version; mu must be held.
func (s *store) reply(w http.ResponseWriter, rows []row) {
	body := map[string]any{"row-version": s.version, "now": "1ms"}
	if rows != nil {
		body["rows"], body["has-more"] = rows, false
	}
	_ = json.NewEncoder(w).Encode(body)
}
