// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Knownred lets a run of all tests pass over those that KNOWN-RED.txt lists, and holds
// that each of them still fails.
//
//	knownred skip    prints the pattern for go test's -skip
//	knownred check   runs each listed test and prints its result
//
// A line of the list is
//
//	package test | cause | command, seed and what was seen | open issue
//
// with the package as go test takes it and the test's whole name, subtests behind
// slashes. Empty lines and those that begin with # are left out. The check fails when a
// listed test passes, when a line names no test or more than one, or when there are
// more than three lines.
package main
