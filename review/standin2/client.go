// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// apiKey is the key of the only client account.
const apiKey = "9dnn2ctnfzs989anu6ws"

// try is one attempt of a client.
type try struct {
	Method, Host, Path, ID string
	Fields                 map[string]string // further header fields
	Body                   string
	Deadline               time.Time
	// DeadlineMs is what the client states; 0 stands for the time until Deadline.
	DeadlineMs int64
}

// send sends an attempt to an address on a new connection, and returns the head of the answer. The
// caller must close the connection.
func (t try) send(address string) (*http.Response, net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetDeadline(t.Deadline)
	if t.DeadlineMs == 0 {
		t.DeadlineMs = time.Until(t.Deadline).Milliseconds()
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nConnection: close\r\n",
		t.Method, t.Path, t.Host, t.ID, t.DeadlineMs, apiKey)
	for name, value := range t.Fields {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if t.Method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(t.Body))
	}
	if _, err := io.WriteString(c, head.String()+"\r\n"+t.Body); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: t.Method})
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return resp, c, nil
}

// streamEvent is an event of a stream.
type streamEvent struct{ id, data string }

// readEvents calls each for every complete event of a stream, until its end. The error is nil if the
// stream has ended as complete.
func readEvents(body io.Reader, each func(e streamEvent)) error {
	lines := bufio.NewReader(body)
	var e streamEvent
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "":
			each(e)
			e = streamEvent{}
		case name == "id":
			e.id = value
		case name == "data":
			e.data = value
		}
	}
}

// retryAfter returns the time that an answer asks a client to wait, 0 for none.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
