// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package peerpb contains the generated code of the protocol between entries, which
// peer.proto documents. Regenerate it with "make generate".
package peerpb
