// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// mostUnpacked bounds a table in bytes.
const mostUnpacked = 16 << 20

func pack(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if _, err := w.Write(value); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return b.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	value, err := io.ReadAll(io.LimitReader(r, mostUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(value) > mostUnpacked {
		return nil, errors.Errorf("unpack: more than %d bytes", mostUnpacked)
	}
	return value, nil
}
