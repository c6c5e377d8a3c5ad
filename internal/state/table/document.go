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

// ChunkCount is the number of chunks: 8,200 accounts make chunks of some
// 20 KB, far below the service's one megabyte, and an edit writes one of them.
const ChunkCount = 64

// keptEdits is how many edit ids a root remembers, to settle lost answers.
const keptEdits = 128

// retiredFor is how many versions a replaced chunk is kept, for readers that
// hold an older root.
const retiredFor = 32

// EditMark remembers that an edit took effect, and at which version.
type EditMark struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Root is the one value that is swapped.
type Root struct {
	Version uint64 `json:"version"`
	// Chunks are the chunks' names, "" for an empty chunk.
	Chunks [ChunkCount]string `json:"chunks"`
	// Retired are names that newer versions replaced, to be deleted later.
	Retired []Retired `json:"retired,omitempty"`
	// Edits are the newest edits' ids, oldest first.
	Edits []EditMark `json:"edits,omitempty"`
}

// Retired is a chunk that Version replaced.
type Retired struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Document is a root with all its rows. It is never changed once made.
type Document struct {
	Root Root
	// chunks holds the encoded chunks, nil for empty ones.
	chunks [ChunkCount][]byte
	rows   map[string]hookhall.Row
}

// Empty is the table before the first edit.
func Empty() *Document { return &Document{rows: map[string]hookhall.Row{}} }

// EncodeRoot returns the root's bytes.
func (d *Document) EncodeRoot() []byte {
	b, err := json.Marshal(d.Root)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return b
}

// DecodeRoot is the inverse of EncodeRoot; no bytes are the empty root.
func DecodeRoot(b []byte) (Root, error) {
	var r Root
	if len(b) == 0 {
		return r, nil
	}
	return r, errors.Wrap(json.Unmarshal(b, &r), "table root")
}

// Chunk returns the encoded chunk i, nil when empty.
func (d *Document) Chunk(i int) []byte { return d.chunks[i] }

// ChunkNamed returns the chunk with a name, nil if d has none such.
func (d *Document) ChunkNamed(name string) []byte {
	for i, h := range d.Root.Chunks {
		if h == name && h != "" {
			return d.chunks[i]
		}
	}
	return nil
}

// nameOf is a chunk's name: the hash of its content and the version that made
// it. A name never comes back, so a retired chunk can be deleted safely.
func nameOf(chunk []byte, version uint64) string {
	if len(chunk) == 0 {
		return ""
	}
	return HashOf(chunk) + "." + strconv.FormatUint(version, 10)
}

// HashIn returns the content hash in a chunk's name.
func HashIn(name string) string {
	hash, _, _ := strings.Cut(name, ".")
	return hash
}

// VersionIn returns the version in a chunk's name.
func VersionIn(name string) uint64 {
	_, version, _ := strings.Cut(name, ".")
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// HashOf is the hash of a chunk's content.
func HashOf(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:16])
}

// Assemble builds a document from a root and its chunks by name. A chunk that
// is missing or whose content does not match its name is an error.
func Assemble(r Root, chunk func(name string) []byte) (*Document, error) {
	d := &Document{Root: r, rows: map[string]hookhall.Row{}}
	for i, h := range r.Chunks {
		if h == "" {
			continue
		}
		b := chunk(h)
		if HashOf(b) != HashIn(h) {
			return nil, errors.Errorf("table version %d: chunk %d is missing or damaged", r.Version, i)
		}
		var rows []hookhall.Row
		if err := json.Unmarshal(b, &rows); err != nil {
			return nil, errors.Wrapf(err, "table chunk %d", i)
		}
		d.chunks[i] = b
		for _, w := range rows {
			d.rows[rowKey(w.Sheet, w.Name)] = w
		}
	}
	return d, nil
}

// Rows returns all rows, sorted by sheet and name.
func (d *Document) Rows() []hookhall.Row {
	rows := make([]hookhall.Row, 0, len(d.rows))
	for _, w := range d.rows {
		rows = append(rows, w)
	}
	sortRows(rows)
	return rows
}

// Row finds one row.
func (d *Document) Row(s hookhall.Sheet, name string) (hookhall.Row, bool) {
	w, ok := d.rows[rowKey(s, name)]
	return w, ok
}

// Applied tells the version at which the edit took effect, 0 if it is not known.
func (r Root) Applied(id string) uint64 {
	for _, e := range r.Edits {
		if e.ID == id {
			return e.Version
		}
	}
	return 0
}

// Apply returns the document after edits, which all apply or none. Wrong cells
// give Errors, edits on a changed base give Conflicts.
func (d *Document) Apply(id string, edits []hookhall.Edit) (*Document, error) {
	if err := checkEdits(edits); err != nil {
		return nil, err
	}
	next := d.copyRows()
	touched := map[int]bool{}
	var conflicts Conflicts
	for _, e := range edits {
		if c, ok := next.applyOne(e); !ok {
			conflicts = append(conflicts, c)
			continue
		}
		touched[chunkOf(rowKey(e.Sheet, e.Row))] = true
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	next.Root.Version++
	next.Root.Retired = keepRecent(d.Root.Retired, next.Root.Version)
	next.Root.Edits = appendEdit(d.Root.Edits, EditMark{ID: id, Version: next.Root.Version})
	next.encodeChunks(touched)
	if _, err := Compile(next); err != nil {
		return nil, err
	}
	return next, nil
}

func checkEdits(edits []hookhall.Edit) error {
	var list Errors
	for _, e := range edits {
		if e.Delete && e.Column == "" {
			continue
		}
		if err := CheckCell(e.Sheet, e.Row, e.Column, e.Value); err != nil {
			var c *CellError
			errors.As(err, &c)
			list = append(list, c)
		}
	}
	if len(list) > 0 {
		return list
	}
	return nil
}

func (d *Document) copyRows() *Document {
	next := &Document{Root: d.Root, chunks: d.chunks, rows: make(map[string]hookhall.Row, len(d.rows)+1)}
	for k, w := range d.rows {
		next.rows[k] = w
	}
	return next
}

// applyOne changes one cell. The row's cells are copied first, since the
// older document shares them.
func (d *Document) applyOne(e hookhall.Edit) (Conflict, bool) {
	key := rowKey(e.Sheet, e.Row)
	old, exists := d.rows[key]
	if e.Delete {
		delete(d.rows, key)
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
	d.rows[key] = row
	return Conflict{}, true
}

func (d *Document) encodeChunks(touched map[int]bool) {
	byChunk := make(map[int][]hookhall.Row, len(touched))
	for k, w := range d.rows {
		if i := chunkOf(k); touched[i] {
			byChunk[i] = append(byChunk[i], w)
		}
	}
	for i := range touched {
		if old := d.Root.Chunks[i]; old != "" {
			d.Root.Retired = append(d.Root.Retired, Retired{old, d.Root.Version})
		}
		d.chunks[i] = encodeRows(byChunk[i])
		d.Root.Chunks[i] = nameOf(d.chunks[i], d.Root.Version)
	}
}

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

// keepRecent copies the retired names that are not yet Obsolete.
func keepRecent(old []Retired, version uint64) []Retired {
	var kept []Retired
	for _, r := range old {
		if r.Version+retiredFor > version {
			kept = append(kept, r)
		}
	}
	return kept
}

// Obsolete lists the retired chunks of d that its successor next no longer
// remembers; nobody has any use for them.
func (d *Document) Obsolete(next *Document) []string {
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

func appendEdit(old []EditMark, m EditMark) []EditMark {
	if len(old) >= keptEdits {
		old = old[len(old)-keptEdits+1:]
	}
	return append(append([]EditMark(nil), old...), m)
}

func rowKey(s hookhall.Sheet, name string) string { return string(s) + "/" + name }

func chunkOf(key string) int { return int(xxhash.Sum64String(key) % ChunkCount) }

func sortRows(rows []hookhall.Row) {
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Sheet != rows[j].Sheet {
			return rows[i].Sheet < rows[j].Sheet
		}
		return rows[i].Name < rows[j].Name
	})
}
