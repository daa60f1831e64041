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
	// allowedLost is the number of requests that the rule allows to be lost.
	allowedLost = 3
)

const slowConfiguration = `{"version":1,"routes":{
"r-browse":{"host":"shop.example","prefix":"/browse/","kind":"safe","timeout":"6000ms","target-latency":"1500ms","priority":2,"service":"katalog","max-attempts":2,"anonymous":false},
"r-order":{"host":"shop.example","prefix":"/order/","kind":"unsafe","timeout":"6000ms","target-latency":"1500ms","priority":0,"service":"ordre","max-attempts":2,"anonymous":false}},
"services":{"katalog":{"health-path":"/healthcheck","max-conns":1204},"ordre":{"health-path":"/healthcheck","max-conns":1204}},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"tenants":{"shop":{"api-keys":["key-of-shop"],"priority":1,"rate-per-s":5000,"burst":5000}}}`

// runSlow places orders at a machine whose other clients fetch large answers, and read them
// slowly if trouble is set. It returns the number of orders that were lost.
func runSlow(r *record, trouble bool) (int, error) {
	answer := []byte(strings.Repeat("b", answerBytes))
	var places []place
	for _, zone := range []string{"west-a", "west-b", "west-c"} {
		places = append(places, place{zone, "katalog", 120 * time.Millisecond, answer}, place{zone, "ordre", 160 * time.Millisecond, []byte("booked")})
	}
	f, err := startFleet(places, slowConfiguration, r)
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
		clients.Go(func() { placeOrders(ctx, f, outbound, i, lost) })
	}
	for i := range slowClients {
		clients.Go(func() { fetchAll(ctx, r, outbound, i, trouble) })
	}
	clients.Wait()
	return lost.value(), nil
}

// A counter is a number that is safe for concurrent use.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// placeOrders places orders on a connection that it keeps. An order is lost if it ran and the
// connection, which had carried an answer before, was closed without one.
func placeOrders(ctx context.Context, f *fleet, outbound string, client int, lost *counter) {
	var conn net.Conn
	var reader *bufio.Reader
	answered := 0
	for number := 0; ctx.Err() == nil; number++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", outbound, time.Second); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			reader, answered = bufio.NewReader(conn), 0
		}
		id := fmt.Sprintf("%04x%08x", client, number)
		status, err := placeOrder(conn, reader, id)
		if err == nil {
			f.record.add("order %s was answered %d", id, status)
			answered++
			time.Sleep(20 * time.Millisecond)
			continue
		}
		conn.Close()
		conn = nil
		runs := f.ran(id)
		f.record.add("order %s: the connection, which had carried %d answers, ended without an answer (%v); it ran %d times", id, answered, err, runs)
		if runs > 0 && answered > 0 {
			lost.add()
		}
	}
	if conn != nil {
		conn.Close()
	}
}

func placeOrder(conn net.Conn, reader *bufio.Reader, id string) (int, error) {
	if err := conn.SetDeadline(time.Now().Add(7 * time.Second)); err != nil {
		return 0, err
	}
	body := "twelve bundles"
	if _, err := fmt.Fprintf(conn, "POST /order/new HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key-of-shop\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
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
		source = &slowReader{conn}
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

// A countingReader counts the bytes that it reads.
type countingReader struct {
	io.Reader
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n += int64(n)
	return n, err
}

// A slowReader reads slowRate bytes in a second.
type slowReader struct{ source io.Reader }

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.source.Read(p[:min(len(p), slowRate/16)])
	time.Sleep(time.Duration(n) * time.Second / slowRate)
	return n, err
}
