// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package peerpb is the generated code of the protocol between hookhall's own
// processes. Make it anew with "make generate"; peer.proto has the comments.
package peerpb
