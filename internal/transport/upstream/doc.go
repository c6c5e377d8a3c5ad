// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package upstream sends HTTP/1.1 requests to targets over its own connections.
//
// # Model
//
// A Pool keeps idle connections by address. One request is on a connection at a
// time. The standard library writes requests and parses answers; what it would
// decide by itself (sending a request again on another connection) is decided
// here, never: a request is sent once.
//
// Send returns when the head of the answer with the call's id has come. Answers
// that belong to an earlier request are read and dropped. A connection is kept
// only when the request was written to its end, the answer was read to its
// framed end, nothing lies behind it, and neither side asked to close.
//
// A target takes so many connections from all processes together and resets others. So
// an idle one is kept only while somebody asks for kept ones, and within this process's
// part of what may rest there. Where a new one was reset, the next are watched for a
// reset for about a round trip before a request is written.
//
// # Invariants
//
//   - An error is NotRun only if not a byte of the request was written.
//   - A body that was cut, or reset, ends with an error other than io.EOF.
//   - Ending the context closes the connection.
package upstream
