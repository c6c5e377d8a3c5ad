// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package wire holds the messages of hookhall's HTTP interfaces: of callers, of
// targets and of operators, with their checks.
//
// # Model
//
// Callers and targets exchange JSON; what is streamed is one JSON document a
// line. A stream ends with a document that has End or Error set; End carries
// the length and checksum of the whole output, so that a stream that was cut
// is known as such. Failures are problem documents (RFC 9457) that carry a
// verdict and the time to come back.
package wire
