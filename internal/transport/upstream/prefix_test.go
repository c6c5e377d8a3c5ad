// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// framedAnswers encode answers to a call by how their end is marked.
var framedAnswers = map[string]func(id string) string{
	"length":             func(id string) string { return fixedLengthAnswer(id, "") },
	"length of 12 bytes": func(id string) string { return lengthLastAnswer(id, strings.Repeat("x", 12)) },
	"no bytes":           func(id string) string { return lengthLastAnswer(id, "") },
	"chunks": func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfor \r\n%x\r\n%s\r\n0\r\n\r\n", id, len(id), id)
	},
	"chunks and trailers": func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\nfor %s\r\n0\r\nSum: 1\r\n\r\n", id, len("for "+id), id)
	},
	"lines without CR": func(id string) string { return strings.ReplaceAll(fixedLengthAnswer(id, ""), "\r\n", "\n") },
	"an informational answer first": func(id string) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + fixedLengthAnswer(id, "")
	},
	"an answer to another request first": func(id string) string { return fixedLengthAnswer("late", "") + fixedLengthAnswer(id, "") },
}

// lengthLastAnswer returns an answer whose head ends with its length.
func lengthLastAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestAnswerStopsMidway guards against an answer that stops at any byte, in its head or after it, being taken
// for a whole one, or its connection being used again.
func TestAnswerStopsMidway(t *testing.T) {
	for name, encode := range framedAnswers {
		t.Run(name, func(t *testing.T) {
			for length := range len(encode("1")) {
				assertIncomplete(t, func(id string) string { return encode(id)[:length] })
			}
		})
	}
	t.Run("end of the connection", func(t *testing.T) {
		const head = "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Type: text/plain\r\n\r\n"
		for length := range len(head) {
			assertIncomplete(t, func(string) string { return head[:length] })
		}
	})
}

// assertIncomplete fails the test if an answer after which the target closes its connection counts as whole,
// on a new connection or on one that was used before.
func assertIncomplete(t *testing.T, encode func(id string) string) {
	t.Helper()
	for _, isKept := range []bool{false, true} {
		pool, answers := NewPool(), make(chan reply, 1)
		c := newTestConn(answers)
		if isKept {
			answers <- reply{raw: func(id string) string { return fixedLengthAnswer(id, "") }}
			if !exchangeAndRead(t, pool, c, "0") {
				t.Fatal("no answer to the first request")
			}
			c = pool.takeIdle(address, time.Now())
		}
		answers <- reply{raw: encode, close: true}
		if exchangeAndRead(t, pool, c, "1") {
			t.Errorf("complete on a kept connection %v: %q", isKept, encode("1"))
		}
		if pool.takeIdle(address, time.Now()) != nil {
			t.Errorf("the connection is kept: %q", encode("1"))
		}
	}
}
