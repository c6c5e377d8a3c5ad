// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package reach records which targets a process can connect to.
//
// # Model
//
// A Table has a record of each target address that a direct connection could not be opened
// to since the last one that was. Addresses without a record are reachable, as far as the
// process knows. A failure shows only that this process can't reach the target: whether the
// target is down, or the path of this process is broken, takes a second observer.
package reach
