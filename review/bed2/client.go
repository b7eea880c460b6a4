//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// get sends a GET request without a key.
func get(address, path string) (status int, err error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// attempt is one attempt of a client, with what it has seen of the answer.
type attempt struct {
	id, path string
	sentAt   time.Time
	endedAt  time.Time
	status   int
	body     string
	// events counts the events that have arrived so far.
	events atomic.Int64
	// err is nil if the answer is complete in the protocol.
	err  error
	done chan struct{}
}

// connect opens a connection to a node.
func connect(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }

// send sends a request for a stream over a connection and reads the answer in the background.
func send(conn net.Conn, id, path string, deadline time.Duration) *attempt {
	return sendWithKey(conn, id, path, siteKey, deadline)
}

// sendWithKey is like send, with a key of its own.
func sendWithKey(conn net.Conn, id, path, key string, deadline time.Duration) *attempt {
	a := &attempt{id: id, path: path, sentAt: time.Now(), done: make(chan struct{})}
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m0\r\nToken-Count: 800,154\r\nDeadline-Remaining-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx",
		path, siteHost, id, deadline.Milliseconds(), key)
	go a.exchange(conn, request)
	return a
}

func (a *attempt) exchange(conn net.Conn, request string) {
	defer close(a.done)
	defer func() { _ = conn.Close() }()
	a.err = a.read(conn, request)
	a.endedAt = time.Now()
}

func (a *attempt) read(conn net.Conn, request string) error {
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	a.status = resp.StatusCode
	var body strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buffer)
		body.Write(buffer[:n])
		a.body = body.String()
		a.events.Store(int64(strings.Count(a.body, "\n\n")))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// whole returns the whole stream at a path.
func whole(path string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(eventText(path, n))
	}
	return b.String()
}
