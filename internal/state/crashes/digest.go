// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// digestSize is how many bytes of a SHA-256 sum a Digest keeps. With 16, nobody finds
// another account's or path's content with an equal one.
const digestSize = 16

// Digest names what a client asks: its account, host, path with query, and body.
// Requests that repeat the same content have equal ones, whatever their ids.
type Digest [digestSize]byte

// Sum makes the digest of a request. Each part is written behind its length, so that
// no two requests share their bytes by another division.
func Sum(account, host, uri string, body []byte) Digest {
	h := sha256.New()
	for _, s := range []string{account, host, uri} {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(s)))) // a hash takes everything
		_, _ = io.WriteString(h, s)
	}
	_, _ = h.Write(body)
	return Digest(h.Sum(nil)[:digestSize])
}

// String is the digest in hex, as logs show it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
