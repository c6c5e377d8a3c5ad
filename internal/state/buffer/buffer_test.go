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

// TestBuffers guards against lost or reordered bytes when a buffer stops growing, against
// exceeding the limits, and against bytes that are never returned to the budget.
func TestBuffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 64 << 10
		budget := buffer.NewBudget(limit)
		var unreleased []*buffer.Buffer
		for range rapid.IntRange(1, 20).Draw(t, "buffers") {
			want := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 8000).Draw(t, "size"))
			r := iotest.OneByteReader(bytes.NewReader(want))
			if rapid.Bool().Draw(t, "in pieces of any size") {
				r = bytes.NewReader(want)
			}
			maxSize := rapid.IntRange(1, 100_000).Draw(t, "most")
			b := budget.New(maxSize)
			more, err := b.Fill(r)
			if err != nil {
				t.Fatal(err)
			}
			rest, err := io.ReadAll(r)
			if err != nil {
				t.Fatal(err)
			}
			if got := append(bytes.Clone(b.Bytes()), rest...); !bytes.Equal(got, want) {
				t.Fatalf("buffer and rest are %d bytes and differ from the %d that were sent", len(got), len(want))
			}
			if held := len(b.Bytes()); held > maxSize {
				t.Fatalf("buffer of at most %d bytes holds %d", maxSize, held)
			}
			if !more && len(rest) > 0 {
				t.Fatalf("%d bytes are left although more is not set", len(rest))
			}
			if held := budget.Held(); held > limit {
				t.Fatalf("%d bytes are reserved; the limit is %d", held, limit)
			}
			unreleased = append(unreleased, b)
			if rapid.Bool().Draw(t, "one is released") {
				unreleased[0].Release()
				unreleased[0].Release()
				unreleased = unreleased[1:]
			}
		}
		for _, b := range unreleased {
			b.Release()
		}
		if held := budget.Held(); held != 0 {
			t.Fatalf("%d bytes are reserved after all buffers were released", held)
		}
	})
}

// TestFillOfCutResponse guards against taking a response that was cut off for a complete one.
func TestFillOfCutResponse(t *testing.T) {
	cut := errors.New("cut")
	b := buffer.NewBudget(1 << 20).New(1 << 20)
	defer b.Release()
	if _, err := b.Fill(io.MultiReader(bytes.NewReader([]byte("begun")), iotest.ErrReader(cut))); !errors.Is(err, cut) {
		t.Errorf("Fill returned %v instead of the reader's error", err)
	}
}
