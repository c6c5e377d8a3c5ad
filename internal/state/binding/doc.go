// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package binding records which software version began a stream.
//
// # Model
//
// A stream may go on only at the software version that began it. Its Binding is made when its
// first event is passed on, and is never changed. Clients take a stream up at any gateway, so
// that copies of the binding are held by several; Rank orders the gateways for a binding. A Table
// holds the bindings that one process knows, and a History the versions of each service that its
// list of targets has had.
//
// # Invariants
//
//   - A Table has at most MaxBindings bindings, and none that has expired.
//   - Two processes with the same list of members rank them in the same order.
package binding
