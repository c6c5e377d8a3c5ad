// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package table is the operators' table as a pure data structure.
//
// # Model
//
// The table is a set of rows in four sheets; a cell is a string, checked
// against its column. Compile turns the rows into a Snapshot of typed structs,
// which the request path reads through one atomic pointer.
//
// For storage the rows are spread over ChunkCount chunks by the hash of their
// name. A chunk is immutable and named by the hash of its content; the Root
// lists the chunks' names and the version. An edit writes the chunks that it
// changes and then swaps the root: all of it is in force, or none.
//
// # Invariants
//
//   - The same rows always encode to the same bytes: rows and cells are sorted.
//   - A root's version is one more than that of the root it replaced.
//   - An edit whose id is in the root's Edits is in force, and is not applied
//     again: this settles a write whose answer was lost.
package table
