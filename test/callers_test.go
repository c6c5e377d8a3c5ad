// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/load"
	. "github.com/smartystreets/goconvey/convey"
)

// maxCallerWait is longer than an entry waits for a caller: the bound of a request without a valid key, and the
// deadline of an account with its margin.
const maxCallerWait = 25 * time.Second

// sendPart sends bytes to the first entry and returns what it answers until it closes the connection, or the
// error of a connection that is still open after maxCallerWait.
func (c *cluster) sendPart(part string) (answer string, err error) {
	conn, err := net.Dial("tcp", c.entries[0].callersAddress)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, part); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(maxCallerWait)) // never fails on an open connection
	b, err := io.ReadAll(conn)
	return string(b), err
}

// TestCallersThatStop guards against connections, and requests that are half read, which an entry keeps for as
// long as their callers do.
func TestCallersThatStop(t *testing.T) {
	Convey("An entry ends what its callers don't", t, func() {
		c := newCluster(t, options{})
		head := func(key string) string {
			return fmt.Sprintf("POST /v1/run HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n", key)
		}
		validKey := load.Account{Name: "venues"}.Key()
		parts := map[string]string{
			"nothing is sent":                      "",
			"a head stops":                         head(validKey),
			"a body stops":                         head(validKey) + "\r\n{",
			"a body without a valid key stops":     head("nobody") + "\r\n{",
			"the body of a readiness check stops":  "GET /readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{",
			"a second request stops in its head":   "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n" + head(validKey),
			"a second request stops in its chunks": "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\nPOST /v1/run HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + validKey + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{",
		}
		ended := make(chan string, len(parts))
		for name, part := range parts {
			go func() {
				answer, err := c.sendPart(part)
				if err != nil {
					ended <- fmt.Sprintf("%s: %v after %q", name, err, answer)
					return
				}
				ended <- ""
			}()
		}
		for range parts {
			So(<-ended, ShouldBeEmpty)
		}
	})
}
