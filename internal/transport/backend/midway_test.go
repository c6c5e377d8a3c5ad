// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package backend_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/transport/backend"
)

// partial serves the answers of a target up to a number of bytes, and then closes the connection.
type partial struct {
	target http.Handler
	encode func(whole *httptest.ResponseRecorder) string
	sent   int // bytes
	// The length of the last whole answer, and that up to the end of its end line, without the line's end. The
	// times in the end line make them vary.
	length, endLine int
}

// ServeHTTP implements http.Handler.
func (p *partial) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	whole := httptest.NewRecorder()
	p.target.ServeHTTP(whole, r)
	answer := p.encode(whole)
	p.length, p.endLine = len(answer), strings.LastIndex(answer, "}")+1
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = io.WriteString(c, answer[:min(p.sent, len(answer)-1)])
}

// encodeHead returns the head of an answer with the field that marks its body's end.
func encodeHead(whole *httptest.ResponseRecorder, framing string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d x\r\n", whole.Code)
	_ = whole.Header().Write(&b)
	return b.String() + framing + "\r\n\r\n"
}

// TestAnswerStopsMidway guards against an answer that stops at any byte being taken for a whole one, or for a
// proof that the call did not run.
func TestAnswerStopsMidway(t *testing.T) {
	for name, encode := range map[string]func(whole *httptest.ResponseRecorder) string{
		"length": func(whole *httptest.ResponseRecorder) string {
			return encodeHead(whole, fmt.Sprint("Content-Length: ", whole.Body.Len())) + whole.Body.String()
		},
		"chunks": func(whole *httptest.ResponseRecorder) string {
			return encodeHead(whole, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", whole.Body.Len(), whole.Body)
		},
		"end of the connection": func(whole *httptest.ResponseRecorder) string {
			return encodeHead(whole, "Connection: close") + strings.TrimSpace(whole.Body.String())
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := &partial{target: standin.NewTarget(standin.TargetSettings{ID: "e", Capacity: 2}), encode: encode, length: 1}
			s := httptest.NewServer(p)
			defer s.Close()
			target := hookhall.Target{ID: "e", Address: strings.TrimPrefix(s.URL, "http://"), Streams: true}
			for ; p.sent < p.length; p.sent++ {
				_, err := backend.New(buffer.NewBudget(1<<20)).Call(context.Background(), target, call("some tag"), func([]byte) error { return nil })
				// The end line has the checksum of all others: only the framing may be missing behind it.
				if err == nil && p.sent < p.endLine || err != nil && hookhall.AsError(err).Verdict != hookhall.MayHaveRun {
					t.Errorf("after %d of %d bytes: error %v", p.sent, p.length, err)
				}
			}
		})
	}
}

// call returns a call that may run only once.
func call(input string) hookhall.StageCall {
	return hookhall.StageCall{
		Request: "r1", Stage: "generate", Attempt: 1, Digest: xxhash.Sum64String(input), Input: []byte(input),
		MaxTokens: 8, Deadline: time.Now().Add(10 * time.Second), Key: "a/k", AtMostOnce: true,
	}
}
