// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hookhall/hookhall"
)

// fixedTarget starts a target that gives the same bytes as the answer to each request and then closes the
// connection.
func fixedTarget(t *testing.T, answer string) string {
	t.Helper()
	return startRawTarget(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, answer) })
}

// TestInvalidAnswers guards against answers that are not valid and reach callers as if they were: the field of
// a name with a blank is not the field that its sender meant, and so the body may be another one.
func TestInvalidAnswers(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nCall: a\r\n"
		length  = "Content-Length: 4\r\n\r\nbody"
		chunked = "Transfer-Encoding: chunked\r\n"
	)
	status := func(s string) string { return "HTTP/1.1 " + s + "\r\nCall: a\r\n" + length }
	field := func(line string) string { return ok + line + "\r\n" + length }
	for name, answer := range map[string]string{
		"status 000":                        status("000 Trouble"),
		"status 000 without a phrase":       status("000"),
		"status 099":                        status("099 x"),
		"status 600":                        status("600 x"),
		"status 999":                        status("999 x"),
		"status with a sign":                status("+20 x"),
		"status with letters":               status("2OO x"),
		"status of four digits":             status("0200 x"),
		"blank in a name":                   field("X Bad: 1"),
		"blank behind a name":               field("X-Bad : 1"),
		"tab behind a name":                 field("X-Bad\t: 1"),
		"zero byte in a name":               field("X\x00Bad: 1"),
		"control byte in a name":            field("X\x01Bad: 1"),
		"delete in a name":                  field("X\x7fBad: 1"),
		"bracket in a name":                 field("X(Bad: 1"),
		"byte over 0x7f in a name":          field("X\xe9Bad: 1"),
		"empty name":                        field(": 1"),
		"no colon":                          field("X-Bad"),
		"zero byte in a value":              field("X: a\x00b"),
		"blank behind Content-Length":       ok + "Content-Length : 4\r\n\r\nbody",
		"blank in Content-Length":           ok + "Content Length: 4\r\n\r\nbody",
		"blank behind Transfer-Encoding":    ok + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"blank in a name of a trailer":      ok + chunked + "\r\n4\r\nbody\r\n0\r\nX Bad: 1\r\n\r\n",
		"blank behind a name of a trailer":  ok + chunked + "\r\n4\r\nbody\r\n0\r\nX-Bad : 1\r\n\r\n",
		"blank in a name of a 103":          "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + ok + length,
		"blank in a name of another answer": "HTTP/1.1 200 OK\r\nCall: b\r\nX Bad: 1\r\n" + length + ok + length,
		"the same in its trailer":           "HTTP/1.1 200 OK\r\nCall: b\r\n" + chunked + "\r\n4\r\nbody\r\n0\r\nX Bad: 1\r\n\r\n" + ok + length,
		"two lengths":                       field("Content-Length: 5"),
		"length with a sign":                ok + "Content-Length: +4\r\n\r\nbody",
		"two encodings":                     ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := upload(t, newPatientPool(), fixedTarget(t, answer), 0)
			if err == nil {
				t.Fatalf("%q was taken for an answer", body)
			}
			if failure := hookhall.AsError(err); failure != nil && failure.Verdict == hookhall.NotRun {
				t.Errorf("verdict not-run of a request that was read: %v", err)
			}
		})
	}
}

// TestValidAnswers checks that valid answers of rare forms are accepted.
func TestValidAnswers(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nCall: a\r\n", "the whole answer"
	const chunks = "Transfer-Encoding: chunked\r\n\r\n10\r\n" + body + "\r\n0\r\n"
	for name, answer := range map[string]string{
		"all signs of names":        head + "X!#$%&'*+-.^_`|~9: 1\r\n\r\n" + body,
		"value on two lines":        head + "X: a\r\n b\r\n\r\n" + body,
		"empty value":               head + "X:\r\n\r\n" + body,
		"no phrase":                 "HTTP/1.1 200\r\nCall: a\r\n\r\n" + body,
		"status 599":                "HTTP/1.1 599 x\r\nCall: a\r\n\r\n" + body,
		"trailer":                   head + chunks + "X-Sum: 1\r\n\r\n",
		"trailer announced":         head + "Trailer: X-Sum\r\n" + chunks + "X-Sum: 1\r\n\r\n",
		"chunks beside a length":    head + "Content-Length: 5\r\n" + chunks + "\r\n",
		"informational answer with": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			got, err := upload(t, newPatientPool(), fixedTarget(t, answer), 0)
			expectWhole(t, got, err)
		})
	}
}
