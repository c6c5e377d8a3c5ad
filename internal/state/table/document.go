// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// ChunkCount is the number of chunks that rows are spread over. With 8,200 accounts a
// chunk has some 20 KB, far below the key-value service's limit of one megabyte, and an
// edit writes one of them.
const ChunkCount = 64

// maxAppliedEdits is the number of edit requests that a root lists. A writer that lost the
// reply to its swap can look its ID up until that many others have taken effect.
const maxAppliedEdits = 128

// retiredVersions is the number of versions for which a replaced chunk is kept, so that a
// reader of an older root still finds its chunks.
const retiredVersions = 32

// AppliedEdit records the ID of an edit request that took effect, and the version that it
// made.
type AppliedEdit struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Root is the stored value that a compare-and-swap replaces to put an edit into effect.
type Root struct {
	Version uint64 `json:"version"`
	// Chunks has the names of the chunks, "" for an empty chunk.
	Chunks [ChunkCount]string `json:"chunks"`
	// Retired has the chunks that newer versions replaced, to be deleted later.
	Retired []Retired `json:"retired,omitempty"`
	// Edits has the newest edit requests that took effect, oldest first.
	Edits []AppliedEdit `json:"edits,omitempty"`
}

// Retired is the name of a chunk and the version whose root no longer lists it.
type Retired struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Document is a root with all its rows. It is immutable.
type Document struct {
	Root Root
	// chunks holds the encoded chunks, nil for empty ones.
	chunks [ChunkCount][]byte
	// rowsByKey is keyed by rowKey.
	rowsByKey map[string]hookhall.Row
}

// Empty returns the table before the first edit, at version 0.
func Empty() *Document { return &Document{rowsByKey: map[string]hookhall.Row{}} }

// EncodeRoot returns the stored form of the root, JSON.
func (d *Document) EncodeRoot() []byte {
	b, err := json.Marshal(d.Root)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return b
}

// DecodeRoot is the inverse of EncodeRoot; an empty b gives the empty root.
func DecodeRoot(b []byte) (Root, error) {
	var r Root
	if len(b) == 0 {
		return r, nil
	}
	return r, errors.Wrap(json.Unmarshal(b, &r), "table root")
}

// Chunk returns the encoded chunk i, from 0 to ChunkCount-1; nil when it is empty.
func (d *Document) Chunk(i int) []byte { return d.chunks[i] }

// ChunkNamed returns the encoded chunk with a name, nil when d's root doesn't list it.
func (d *Document) ChunkNamed(name string) []byte {
	for i, listed := range d.Root.Chunks {
		if listed == name && listed != "" {
			return d.chunks[i]
		}
	}
	return nil
}

// chunkName returns the name of a chunk, "" for an empty one: the hash of its content, a
// dot, and the version that wrote it. Because of the version a name is never used again,
// so a retired chunk can be deleted safely.
func chunkName(chunk []byte, version uint64) string {
	if len(chunk) == 0 {
		return ""
	}
	return ContentHash(chunk) + "." + strconv.FormatUint(version, 10)
}

// HashFromName returns the content hash that a chunk's name contains.
func HashFromName(name string) string {
	hash, _, _ := strings.Cut(name, ".")
	return hash
}

// VersionFromName returns the version that a chunk's name contains, 0 when it has none.
func VersionFromName(name string) uint64 {
	_, version, _ := strings.Cut(name, ".")
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// ContentHash returns the hash of a chunk's content: the first 16 bytes of its SHA-256, in
// hex.
func ContentHash(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:16])
}

// Assemble builds a document from a root and its encoded chunks, which it gets by name
// from chunk. It returns an error when a chunk is missing (nil) or its content doesn't
// match the hash in its name.
func Assemble(r Root, chunk func(name string) []byte) (*Document, error) {
	d := &Document{Root: r, rowsByKey: map[string]hookhall.Row{}}
	for i, name := range r.Chunks {
		if name == "" {
			continue
		}
		b := chunk(name)
		if ContentHash(b) != HashFromName(name) {
			return nil, errors.Errorf("table version %d: chunk %d is missing or damaged", r.Version, i)
		}
		var rows []hookhall.Row
		if err := json.Unmarshal(b, &rows); err != nil {
			return nil, errors.Wrapf(err, "table chunk %d", i)
		}
		d.chunks[i] = b
		for _, row := range rows {
			d.rowsByKey[rowKey(row.Sheet, row.Name)] = row
		}
	}
	return d, nil
}

// Rows returns all rows, sorted by sheet and name.
func (d *Document) Rows() []hookhall.Row {
	rows := make([]hookhall.Row, 0, len(d.rowsByKey))
	for _, row := range d.rowsByKey {
		rows = append(rows, row)
	}
	sortRows(rows)
	return rows
}

// Row returns the row of a sheet with a name, and whether it exists.
func (d *Document) Row(s hookhall.Sheet, name string) (hookhall.Row, bool) {
	row, ok := d.rowsByKey[rowKey(s, name)]
	return row, ok
}

// AppliedVersion returns the version that the edit request with this ID made, 0 when the
// root doesn't list it.
func (r Root) AppliedVersion(id string) uint64 {
	for _, e := range r.Edits {
		if e.ID == id {
			return e.Version
		}
	}
	return 0
}

// Apply returns the document of the next version, with all edits of the request id
// applied; on an error no edit is applied. The error is CellErrors when cells are invalid
// or two accounts have the same key, and Conflicts when cells no longer hold the base of
// their edit.
func (d *Document) Apply(id string, edits []hookhall.Edit) (*Document, error) {
	if err := checkEdits(edits); err != nil {
		return nil, err
	}
	next := d.copyRows()
	touched := map[int]bool{}
	var conflicts Conflicts
	for _, e := range edits {
		if c, ok := next.applyEdit(e); !ok {
			conflicts = append(conflicts, c)
			continue
		}
		touched[chunkOf(rowKey(e.Sheet, e.Row))] = true
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	next.Root.Version++
	next.Root.Retired = recentlyRetired(d.Root.Retired, next.Root.Version)
	next.Root.Edits = appendEdit(d.Root.Edits, AppliedEdit{ID: id, Version: next.Root.Version})
	next.encodeChunks(touched)
	if _, err := Compile(next); err != nil {
		return nil, err
	}
	return next, nil
}

// checkEdits returns CellErrors with one entry for each invalid edit, nil when there are
// none. A deletion is one of a whole row, so that it must not name a column.
func checkEdits(edits []hookhall.Edit) error {
	var invalid CellErrors
	for _, e := range edits {
		if e.Delete {
			if e.Column != "" {
				invalid = append(invalid, &CellError{e.Sheet, e.Row, e.Column, "a deletion is of a whole row and names no column"})
			}
			continue
		}
		if err := CheckCell(e.Sheet, e.Row, e.Column, e.Value); err != nil {
			var c *CellError
			errors.As(err, &c)
			invalid = append(invalid, c)
		}
	}
	if len(invalid) > 0 {
		return invalid
	}
	return nil
}

// copyRows returns a copy of d with its own map of rows; the rows' cells are shared.
func (d *Document) copyRows() *Document {
	next := &Document{Root: d.Root, chunks: d.chunks, rowsByKey: make(map[string]hookhall.Row, len(d.rowsByKey)+1)}
	for k, row := range d.rowsByKey {
		next.rowsByKey[k] = row
	}
	return next
}

// applyEdit changes one cell or deletes one row; on a conflict it returns false and
// changes nothing. It copies the row's cells before a change, because older documents
// share them.
func (d *Document) applyEdit(e hookhall.Edit) (Conflict, bool) {
	key := rowKey(e.Sheet, e.Row)
	old, exists := d.rowsByKey[key]
	if e.Delete {
		delete(d.rowsByKey, key)
		return Conflict{}, true
	}
	if current := old.Cells[e.Column]; !e.Force && current != e.Base {
		return Conflict{Edit: e, Current: current}, false
	}
	row := hookhall.Row{Sheet: e.Sheet, Name: e.Row, Cells: map[string]string{}}
	if exists {
		for c, v := range old.Cells {
			row.Cells[c] = v
		}
	}
	if e.Value == "" {
		delete(row.Cells, e.Column)
	} else {
		row.Cells[e.Column] = e.Value
	}
	d.rowsByKey[key] = row
	return Conflict{}, true
}

// encodeChunks encodes the touched chunks, by their index, names them for Root.Version, and
// adds the names that they replace to Root.Retired.
func (d *Document) encodeChunks(touched map[int]bool) {
	byChunk := make(map[int][]hookhall.Row, len(touched))
	for k, row := range d.rowsByKey {
		if i := chunkOf(k); touched[i] {
			byChunk[i] = append(byChunk[i], row)
		}
	}
	for i := range touched {
		if old := d.Root.Chunks[i]; old != "" {
			d.Root.Retired = append(d.Root.Retired, Retired{old, d.Root.Version})
		}
		d.chunks[i] = encodeRows(byChunk[i])
		d.Root.Chunks[i] = chunkName(d.chunks[i], d.Root.Version)
	}
}

// encodeRows sorts rows and returns the chunk that holds them, JSON; nil without rows.
func encodeRows(rows []hookhall.Row) []byte {
	if len(rows) == 0 {
		return nil
	}
	sortRows(rows)
	b, err := json.Marshal(rows)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return b
}

// recentlyRetired returns a copy of the retired chunks that a root of this version still
// keeps.
func recentlyRetired(old []Retired, version uint64) []Retired {
	var kept []Retired
	for _, r := range old {
		if r.Version+retiredVersions > version {
			kept = append(kept, r)
		}
	}
	return kept
}

// ObsoleteChunks returns the names of the retired chunks of d that its successor next no
// longer lists. They can be deleted.
func (d *Document) ObsoleteChunks(next *Document) []string {
	kept := map[string]bool{}
	for _, r := range next.Root.Retired {
		kept[r.Name] = true
	}
	var names []string
	for _, r := range d.Root.Retired {
		if !kept[r.Name] {
			names = append(names, r.Name)
		}
	}
	return names
}

// appendEdit returns a copy of old with applied appended, without the oldest entries above
// maxAppliedEdits.
func appendEdit(old []AppliedEdit, applied AppliedEdit) []AppliedEdit {
	if len(old) >= maxAppliedEdits {
		old = old[len(old)-maxAppliedEdits+1:]
	}
	return append(append([]AppliedEdit(nil), old...), applied)
}

// rowKey returns the key of a row in Document.rowsByKey, as in accounts/acme.
func rowKey(s hookhall.Sheet, name string) string { return string(s) + "/" + name }

// chunkOf returns the index of the chunk that holds the row with this rowKey.
func chunkOf(key string) int { return int(xxhash.Sum64String(key) % ChunkCount) }

// sortRows sorts rows in place by sheet and name.
func sortRows(rows []hookhall.Row) {
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Sheet != rows[j].Sheet {
			return rows[i].Sheet < rows[j].Sheet
		}
		return rows[i].Name < rows[j].Name
	})
}
