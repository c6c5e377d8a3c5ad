// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"io"
	"strconv"
	"testing"
	"time"
)

// TestUnprovenAnswer guards against a connection that is used again before, or although not, its answer was
// proven to be the one to its request.
func TestUnprovenAnswer(t *testing.T) {
	for name, c := range map[string]struct{ awaitsProof, isProven, isRead, wantKept bool }{
		"proven":                   {true, true, true, true},
		"not proven":               {true, false, true, false},
		"proven but not read":      {true, true, false, false},
		"proof not awaited":        {false, false, true, true},
		"proof neither, unread":    {false, false, false, false},
		"proof given, not awaited": {false, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			answers := make(chan reply, 1)
			answers <- replies[0]
			p := NewPool()
			request := newTestRequest("1")
			request.AwaitsProof = c.awaitsProof
			resp, err := p.exchange(t.Context(), newTestConn(answers), request)
			if err != nil {
				t.Fatal(err)
			}
			if c.isRead {
				if _, err := io.ReadAll(resp.Body); err != nil {
					t.Fatal(err)
				}
			}
			if n := len(p.idleByAddress[address]); c.awaitsProof && n > 0 {
				t.Error("kept before the proof")
			}
			if c.isProven {
				resp.Proven()
			}
			_ = resp.Body.Close()
			if kept := p.takeIdle(address, time.Now()) != nil; kept != c.wantKept {
				t.Errorf("kept: %v, want %v", kept, c.wantKept)
			}
		})
	}
}

// TestMarksOfConnection guards against a copy of a recent answer that is not noticed, and against marks that
// are remembered without a bound.
func TestMarksOfConnection(t *testing.T) {
	c := newConn(nil, address)
	for i := range 3 * maxMarks {
		if !c.addMark(strconv.Itoa(i)) {
			t.Errorf("%d is new", i)
		}
		for known := max(0, i-maxMarks+1); known <= i; known++ {
			if c.addMark(strconv.Itoa(known)) {
				t.Errorf("%d is known after %d", known, i)
			}
		}
	}
	if n := len(c.marks); n != maxMarks {
		t.Errorf("%d marks, want %d", n, maxMarks)
	}
	if !newConn(nil, address).addMark("1") {
		t.Error("a mark of another connection is known")
	}
}
