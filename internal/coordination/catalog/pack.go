// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxUnpackedBytes bounds a table, or a list, in bytes.
const maxUnpackedBytes = 16 << 20

// A writer's tables are some 800 KB, a reader's 40 KB; both are used again.
var (
	writers = sync.Pool{New: func() any {
		w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // a known level is no error
		return w
	}}
	readers = sync.Pool{New: func() any { return new(gzip.Reader) }}
)

// Pack compresses a value.
func Pack(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(value); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return b.Bytes(), nil
}

// Unpack is the inverse of Pack.
func Unpack(packed []byte) ([]byte, error) {
	r := readers.Get().(*gzip.Reader)
	defer readers.Put(r)
	if err := r.Reset(bytes.NewReader(packed)); err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	b, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(b) > maxUnpackedBytes {
		return nil, errors.Errorf("unpack: more than %d bytes", maxUnpackedBytes)
	}
	return b, nil
}
