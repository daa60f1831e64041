package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowClients are the clients of one machine that send a request each requestInterval.
	slowClients     = 25
	requestInterval = 125 * time.Millisecond
	// answerBytes is the size of the answers that they fetch.
	answerBytes = 512 << 10
	// slowRate is what a slow client reads in a second.
	slowRate = 128 << 10
	// fetchDeadline is how long these clients wait for an answer. They then close the connection.
	fetchDeadline = 6 * time.Second
	// windowBytes is the size of the receive buffers of these clients.
	windowBytes = 64 << 10
	// orderClients place orders, one after the other, on a kept connection each.
	orderClients = 12
	slowTime     = 40 * time.Second
)

const shopConfiguration = `{"version":1,"routes":{
"r-browse":{"host":"shop.example","prefix":"/browse/","kind":"safe","timeout":"6000ms","target-latency":"1500ms","priority":2,"service":"katalog","max-attempts":2,"anonymous":false},
"r-order":{"host":"shop.example","prefix":"/order/","kind":"unsafe","timeout":"6000ms","target-latency":"1500ms","priority":0,"service":"ordre","max-attempts":2,"anonymous":false}},
"services":{"katalog":{"health-path":"/healthcheck","max-conns":1204},"ordre":{"health-path":"/healthcheck","max-conns":1204}},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"tenants":{"shop":{"api-keys":["key-of-shop"],"priority":1,"rate-per-s":5000,"burst":5000},
"depot":{"api-keys":["key-of-depot"],"priority":1,"rate-per-s":5000,"burst":5000}}}`

// runSlow places orders at a machine whose other clients fetch large answers, and read them
// slowly if trouble is set. It returns the number of orders that were lost.
func runSlow(r *record, trouble bool) (int, error) {
	answer := []byte(strings.Repeat("b", answerBytes))
	var places []place
	for _, zone := range []string{"west-a", "west-b", "west-c"} {
		places = append(places, place{zone, "katalog", 120 * time.Millisecond, answer}, place{zone, "ordre", 160 * time.Millisecond, []byte("booked")})
	}
	f, err := startFleet(places, shopConfiguration, r)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	outbound := f.nodes[0].outbound
	ctx, cancel := context.WithTimeout(context.Background(), slowTime)
	defer cancel()
	var clients sync.WaitGroup
	lost := &counter{}
	for i := range orderClients {
		clients.Go(func() {
			placeOrders(ctx, f, orderClient{number: i, outbound: outbound, body: "twelve bundles", pause: 20 * time.Millisecond}, lost)
		})
	}
	for i := range slowClients {
		clients.Go(func() { fetchAll(ctx, r, outbound, i, trouble) })
	}
	clients.Wait()
	return lost.value(), nil
}

// fetchAll sends a request each requestInterval, also before earlier ones are answered, and reads
// the answers, slowly if slow is set. It opens a new connection when one ends.
func fetchAll(ctx context.Context, r *record, outbound string, client int, slow bool) {
	for round := 0; ctx.Err() == nil; round++ {
		conn, err := dialSmallWindow(outbound)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		sent := &sendTimes{}
		go sendRequests(conn, fmt.Sprintf("f%03x%04x", client, round), sent)
		answered, read, err := readAnswers(conn, sent, slow)
		r.add("client %d sent %d requests, got %d answers and read %d bytes (%v)", client, sent.count(), answered, read, err)
		stop()
		conn.Close()
	}
}

// dialSmallWindow opens a connection with a small window, as the platform's links have.
func dialSmallWindow(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		return errors.Join(controlErr, err)
	}}
	return dialer.Dial("tcp", address)
}

// sendTimes are the times at which the requests of a connection were sent.
type sendTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (s *sendTimes) add() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, time.Now())
}

func (s *sendTimes) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.times)
}

// of returns when a request was sent, now if it will be sent.
func (s *sendTimes) of(i int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < len(s.times) {
		return s.times[i]
	}
	return time.Now()
}

// sendRequests sends requests until the connection ends.
func sendRequests(conn net.Conn, prefix string, sent *sendTimes) {
	for {
		_, err := fmt.Fprintf(conn, "GET /browse/page HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s%04x\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-of-shop\r\n\r\n",
			prefix, sent.count(), fetchDeadline.Milliseconds())
		if err != nil {
			return
		}
		sent.add()
		time.Sleep(requestInterval)
	}
}

// readAnswers reads answers until one doesn't come within the deadline of its request.
func readAnswers(conn net.Conn, sent *sendTimes, slow bool) (answers int, read int64, err error) {
	var source io.Reader = conn
	if slow {
		source = &slowReader{conn, slowRate}
	}
	counted := &countingReader{Reader: source}
	reader := bufio.NewReaderSize(counted, 4<<10)
	for {
		if err := conn.SetReadDeadline(sent.of(answers).Add(fetchDeadline)); err != nil {
			return answers, counted.n, err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers, counted.n, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil {
			return answers, counted.n, err
		}
		answers++
	}
}
