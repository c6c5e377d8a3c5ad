// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package wire defines and validates the messages of hookhall's HTTP interfaces
// for callers, targets and operators.
//
// # Model
//
// Callers and targets exchange JSON. A streamed answer is one JSON document per
// line and ends with a document that has End or Error set. End carries the length
// and checksum of the complete output, so that the receiver detects a truncated
// stream. Failures are problem documents (RFC 9457) with a verdict and the time
// after which to retry.
package wire
