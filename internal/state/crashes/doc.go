// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package crashes knows requests by their content, and which targets ended while
// they ran them.
package crashes
