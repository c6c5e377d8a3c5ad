// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package buffer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/hookhall/hookhall/internal/state/buffer"
	"pgregory.net/rapid"
)

// TestBuffers: buffers hold what fits, in order, the rest is still to be read, and all that
// they held is given back.
func TestBuffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 64 << 10
		budget := buffer.NewBudget(limit)
		var open []*buffer.Buffer
		for range rapid.IntRange(1, 20).Draw(t, "buffers") {
			want := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 8000).Draw(t, "size"))
			r := iotest.OneByteReader(bytes.NewReader(want))
			if rapid.Bool().Draw(t, "in pieces of any size") {
				r = bytes.NewReader(want)
			}
			most := rapid.IntRange(1, 100_000).Draw(t, "most")
			b := budget.New(most)
			more, err := b.Fill(r)
			if err != nil {
				t.Fatal(err)
			}
			rest, err := io.ReadAll(r)
			if err != nil {
				t.Fatal(err)
			}
			if got := append(bytes.Clone(b.Bytes()), rest...); !bytes.Equal(got, want) {
				t.Fatalf("%d bytes of %d", len(got), len(want))
			}
			if held := len(b.Bytes()); held > most {
				t.Fatalf("a buffer of %d bytes holds %d", most, held)
			}
			if !more && len(rest) > 0 {
				t.Fatalf("%d bytes are left and it says that none is", len(rest))
			}
			if held := budget.Held(); held > limit {
				t.Fatalf("%d bytes are held; the limit is %d", held, limit)
			}
			open = append(open, b)
			if rapid.Bool().Draw(t, "one is released") {
				open[0].Release()
				open[0].Release()
				open = open[1:]
			}
		}
		for _, b := range open {
			b.Release()
		}
		if held := budget.Held(); held != 0 {
			t.Fatalf("%d bytes are held by nobody", held)
		}
	})
}

// TestFillOfCutAnswer: an error of the reader is told, and is no end.
func TestFillOfCutAnswer(t *testing.T) {
	cut := errors.New("cut")
	b := buffer.NewBudget(1 << 20).New(1 << 20)
	defer b.Release()
	if _, err := b.Fill(io.MultiReader(bytes.NewReader([]byte("begun")), iotest.ErrReader(cut))); !errors.Is(err, cut) {
		t.Errorf("the error is %v", err)
	}
}
