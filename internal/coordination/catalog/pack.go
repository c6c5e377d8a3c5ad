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

// maxUnpackedBytes bounds the size of an unpacked table or list of targets.
const maxUnpackedBytes = 16 << 20

// writers and readers reuse the buffers of gzip: some 800 KB for a writer, 40 KB for a reader.
var (
	writers = sync.Pool{New: func() any {
		w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // fails only for an unknown level
		return w
	}}
	readers = sync.Pool{New: func() any { return new(gzip.Reader) }}
)

// Pack compresses a value with gzip.
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

// Unpack decompresses a value that Pack returned. It fails if the result is larger than
// maxUnpackedBytes.
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
		return nil, errors.Errorf("unpack: value exceeds the limit of %d bytes", maxUnpackedBytes)
	}
	return b, nil
}
