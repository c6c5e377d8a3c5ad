// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package table is the data structure of the operators' table: its checks, its stored
// form and its compiled form. It does no I/O.
//
// # Model
//
// The table is a set of rows in four sheets; a cell is a string, checked against its
// column. Compile converts the rows to a Snapshot of typed structs, which the request
// path reads through one atomic pointer.
//
// For storage the rows are spread over ChunkCount chunks by the hash of their sheet and
// name. A chunk is immutable and named for the hash of its content and the version that
// wrote it; the Root lists the names of the chunks and the version. An edit request
// writes the chunks that it changes and then swaps the root, so that all of its edits
// take effect or none.
//
// # Invariants
//
//   - The same rows always encode to the same bytes: rows and cells are sorted.
//   - The version of a root is one more than that of the root that it replaced.
//   - An edit request whose ID is among the root's Edits has taken effect and is not
//     applied again; a writer that lost the reply to its swap looks its ID up there.
package table
