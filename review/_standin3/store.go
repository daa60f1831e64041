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

// A row is the JSON form of a row of the platform's metadata store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row-version"`
	Removed bool   `json:"removed,omitempty"`
}

// A store stands in for the platform's metadata store. It loses nothing and keeps all history.
type store struct {
	listener net.Listener
	started  time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[string]row
	history []row
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, started: time.Now(), changed: make(chan struct{}), rows: make(map[string]row)}
	go http.Serve(listener, s)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/rows-tx":
		s.transact(w, r)
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// write writes a row as the operator does.
func (s *store) write(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: value})
	s.announce()
}

// put stores a row with the current version. mu must be held.
func (s *store) put(r row) {
	r.Version = s.version
	s.history = append(s.history, r)
	if r.Removed {
		delete(s.rows, r.Table+"\x00"+r.Part+"\x00"+r.Key)
		return
	}
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
}

// announce wakes the feeds. mu must be held.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []row `json:"precondition"`
		Writes       []row `json:"writes"`
		Deletes      []row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Precondition {
		if s.rows[c.Table+"\x00"+c.Part+"\x00"+c.Key].Version != c.Version {
			s.reply(w, http.StatusPreconditionFailed, nil)
			return
		}
	}
	s.version++
	for _, c := range t.Writes {
		s.put(c)
	}
	for _, c := range t.Deletes {
		c.Removed, c.Value = true, nil
		s.put(c)
	}
	s.announce()
	s.reply(w, http.StatusOK, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, c := range s.rows {
		if c.Table == q.Get("table") && c.Part == q.Get("part") && c.Key >= q.Get("from") && (q.Get("to") == "" || c.Key < q.Get("to")) {
			rows = append(rows, c)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.reply(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var rows []row
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Version > after {
				rows = append(rows, c)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-timer.C:
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reply(w, http.StatusOK, nil)
		return
	}
}

// reply writes rows with the newest version. mu must be held.
func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has-more": false, "row-version": s.version,
		"now": strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms",
	})
}
