package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// A call is a request of a client.
type call struct {
	method, path, id string
	body             []byte
	deadline         time.Duration
	// key is the API key; that of the tenant if it is empty.
	key string
}

// The host name in all requests.
const authority = "hulo84.example"

// A client is a client of a machine with one kept connection.
type client struct {
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	// served is the number of requests that were answered on the connection.
	served int
}

// send sends a request and returns its whole answer. After an error the next request uses a
// new connection. It sends nothing twice.
func (c *client) send(r call) (status int, header http.Header, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.host.outbound, time.Second); err != nil {
			return 0, nil, err
		}
		c.reader, c.served = bufio.NewReader(c.conn), 0
	}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if err = c.conn.SetDeadline(time.Now().Add(r.deadline)); err != nil {
		return 0, nil, err
	}
	if r.key == "" {
		r.key = key
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		r.method, r.path, authority, attemptHeader, r.id, deadlineHeader, r.deadline.Milliseconds(), r.key, len(r.body))
	if _, err = c.conn.Write(append(head.Bytes(), r.body...)); err != nil {
		return 0, nil, err
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return 0, nil, err
	}
	if _, err = io.Copy(io.Discard, answer.Body); err != nil {
		return 0, nil, err
	}
	c.served++
	if answer.Close {
		c.close()
	}
	return answer.StatusCode, answer.Header, nil
}

// close closes the connection.
func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
