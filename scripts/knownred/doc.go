// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Knownred makes a run of all tests skip the known failures that KNOWN-RED.txt lists, and
// checks that each of them still fails.
//
//	knownred skip    prints the pattern for go test's -skip
//	knownred check   runs each listed test, and fails unless all of them fail as listed
//
// A line of the list is
//
//	package test | cause | command, seed and what was seen | open issue
//
// with the package as an argument of go test and the full name of the test, including
// subtests after slashes. Empty lines and lines that begin with # are ignored. The check
// fails if a listed test passes, if a line names no test or more than one, or if there
// are more than three lines.
package main
