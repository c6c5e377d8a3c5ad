// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// digestSize is the number of bytes of a SHA-256 sum that a Digest keeps. With 16, it is
// infeasible to find a content that has the digest of one of another account or path.
const digestSize = 16

// Digest identifies a request content: client account, host, path with query, and body.
// Requests with the same content have equal digests, whatever their IDs.
type Digest [digestSize]byte

// DigestOf returns the digest of a request; uri is its path with query. Each part but the
// body is preceded by its length, so that no two requests yield the same bytes by splitting
// them differently.
func DigestOf(account, host, uri string, body []byte) Digest {
	h := sha256.New()
	for _, s := range []string{account, host, uri} {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(s)))) // a hash never returns an error
		_, _ = io.WriteString(h, s)
	}
	_, _ = h.Write(body)
	return Digest(h.Sum(nil)[:digestSize])
}

// String returns the digest in hex, as in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
