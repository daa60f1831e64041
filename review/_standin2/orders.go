package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// allowedLost is the number of requests that the rule LOST allows to be lost.
	allowedLost = 3
	// orderDeadline is the deadline of orders.
	orderDeadline = 6 * time.Second
)

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

// An orderClient places orders, one after the other, on a connection that it keeps.
type orderClient struct {
	number         int
	outbound, body string
	// pause is the time between an answer and the next order.
	pause time.Duration
}

// placeOrders places orders until ctx ends. An order is lost if it was passed on to an upstream
// and the connection, which had carried an answer before, ends without one.
func placeOrders(ctx context.Context, f *fleet, c orderClient, lost *counter) {
	var conn net.Conn
	var reader *bufio.Reader
	answered := 0
	for number := 0; ctx.Err() == nil; number++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.outbound, time.Second); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			reader, answered = bufio.NewReader(conn), 0
		}
		id := fmt.Sprintf("%04x%08x", c.number, number)
		f.record.add("order %s is sent to %s", id, c.outbound)
		status, err := placeOrder(conn, reader, id, c.body)
		if err == nil {
			f.record.add("order %s is answered %d", id, status)
			answered++
			time.Sleep(c.pause)
			continue
		}
		conn.Close()
		conn = nil
		passedOn := f.passedOn(id)
		f.record.add("order %s: the connection, which had carried %d answers, ends without an answer (%v); passed on to an upstream: %t", id, answered, err, passedOn)
		if passedOn && answered > 0 {
			lost.add()
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// placeOrder sends an order and returns the status of its answer.
func placeOrder(conn net.Conn, reader *bufio.Reader, id, body string) (int, error) {
	if err := conn.SetDeadline(time.Now().Add(orderDeadline + time.Second)); err != nil {
		return 0, err
	}
	head := fmt.Sprintf("POST /order/new HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-of-shop\r\nContent-Length: %d\r\n\r\n",
		id, orderDeadline.Milliseconds(), len(body))
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.WriteString(conn, head+body) // An answer may come before the end of the body.
	}()
	status, err := readStatus(reader)
	if err != nil {
		conn.Close()
	}
	<-written
	return status, err
}

func readStatus(reader *bufio.Reader) (int, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
