// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"
)

// Identity is what stays the same when a request comes again: its whole content and the parts
// that it shares with other requests.
type Identity struct {
	Account string // the client account, "" for requests without one
	Content Digest
	Parts   []Part
}

// Part is a part of requests, identified by its own content, whichever account sends it.
type Part struct {
	Digest Digest
	ID     string // as clients name it, shortened to maxPartID
}

const (
	// partLabel precedes what the digests of parts are computed from, so that none equals that
	// of a content.
	partLabel = "\xff part"
	// maxPartID is the maximum number of bytes of Part.ID, which clients choose.
	maxPartID = 32
)

// NewPart returns the part with an ID of prompts at a model of a service.
func NewPart(service, model, id string) Part {
	h := sha256.New()
	_, _ = io.WriteString(h, partLabel) // a hash never returns an error
	for _, s := range []string{service, model, id} {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(s))))
		_, _ = io.WriteString(h, s)
	}
	return Part{Digest(h.Sum(nil)[:digestSize]), id[:min(len(id), maxPartID)]}
}

// has reports whether the identity contains a part.
func (i Identity) has(d Digest) bool {
	return slices.ContainsFunc(i.Parts, func(p Part) bool { return p.Digest == d })
}
