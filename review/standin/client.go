package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a connection of a client to a node. It sends one request at a time.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dialNode(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// newID returns a new request id.
func newID() string {
	var raw [8]byte
	rand.Read(raw[:])
	return fmt.Sprintf("%x", raw)
}

// head returns a request's head in the form of the protocol page.
func head(class, id string, timeout time.Duration, bodyLength int) string {
	common := fmt.Sprintf("Host: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n", id, class, timeout.Milliseconds())
	switch class {
	case "cut-order":
		return fmt.Sprintf("POST /%s?sid=%s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n", class, id, common, bodyLength)
	case "tag-event":
		return fmt.Sprintf("POST /%s?sid=%s HTTP/1.1\r\n%sIdempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n", class, id, common, id, bodyLength)
	}
	return fmt.Sprintf("GET /%s?sid=%s HTTP/1.1\r\n%s\r\n", class, id, common)
}

// answer is what a client got.
type answer struct {
	status int // 0: none
	body   string
	close  bool // the node closes the connection
	err    error
}

// readAnswer waits for the answer until a time.
func (c *client) readAnswer(until time.Time) (a answer) {
	c.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: string(body), close: resp.Close}
}
