// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package eventstream finds the events in a stream of the type text/event-stream.
//
// # Model
//
// A stream consists of lines that end with LF, CR LF or CR, in any mixture. A blank line ends an
// event. Lines that begin with a colon are comments and belong to no event.
//
// A CR that is the last byte so far may be half of a CR LF. It ends a blank line only in a stream
// whose lines end with CR; after other lines the next byte decides.
//
// # Invariants
//
//   - What a Parser finds does not depend on how the stream is divided into calls of Feed.
package eventstream

import "bytes"

// pendingCR says what the last byte was, if it was a CR.
type pendingCR int

const (
	noCR         pendingCR = iota // it was none
	crAfterLine                   // it ended a line that is not blank
	crUndecided                   // it ended a blank line, which ends an event once the next byte is known
	crAfterEvent                  // it ended a blank line and an event
)

// Parser reads one stream. Its zero value is at the stream's beginning.
type Parser struct {
	line      []byte // what was read of the current line
	pending   pendingCR
	endedByCR bool // the line before the current one ended with a CR alone
	hasFields bool // the current event has a field
	hasID     bool // the current event has an id
	id        string
	read      int // bytes
	complete  int // bytes
	events    int
	firstID   string
	lastID    string
}

// Complete returns how many bytes of the stream, from its beginning, belong to complete events.
func (p *Parser) Complete() int { return p.complete }

// Events returns the number of complete events so far.
func (p *Parser) Events() int { return p.events }

// FirstID returns the id of the first complete event that has one, "" if none has.
func (p *Parser) FirstID() string { return p.firstID }

// LastID returns the id of the last complete event that has one, "" if none has.
func (p *Parser) LastID() string { return p.lastID }

// InsideEvent reports whether a stream that ends here was broken off: it has a part of an event,
// or of a line.
func (p *Parser) InsideEvent() bool { return p.hasFields || len(p.line) > 0 }

// Feed reads the next bytes of the stream.
func (p *Parser) Feed(b []byte) {
	for len(b) > 0 {
		if p.pending != noCR {
			isCRLF := b[0] == '\n'
			if isCRLF {
				b = p.skip(b, 1)
			}
			p.resolveCR(isCRLF)
			continue
		}
		n := bytes.IndexAny(b, "\r\n")
		if n < 0 {
			p.line = append(p.line, b...)
			p.skip(b, len(b))
			return
		}
		p.line = append(p.line, b[:n]...)
		end := b[n]
		b = p.skip(b, n+1)
		p.endLine(end)
	}
}

// skip counts the first n bytes of b as read and returns the others.
func (p *Parser) skip(b []byte, n int) []byte {
	p.read += n
	return b[n:]
}

// resolveCR records whether the last CR was half of a CR LF.
func (p *Parser) resolveCR(isCRLF bool) {
	was := p.pending
	p.pending, p.endedByCR = noCR, !isCRLF
	switch {
	case was == crUndecided:
		p.endEvent()
	case was == crAfterEvent && isCRLF:
		p.complete = p.read
	}
}

// endLine ends the current line with an LF or a CR.
func (p *Parser) endLine(end byte) {
	isBlank := len(p.line) == 0
	p.readField()
	p.line = p.line[:0]
	switch {
	case end == '\r' && !isBlank:
		p.pending = crAfterLine
		return
	case end == '\r' && !p.endedByCR:
		p.pending = crUndecided
		return
	case end == '\r':
		p.pending = crAfterEvent
	default:
		p.endedByCR = false
	}
	if isBlank {
		p.endEvent()
	}
}

// readField reads the current line, unless it is blank or a comment.
func (p *Parser) readField() {
	if len(p.line) == 0 || p.line[0] == ':' {
		return
	}
	p.hasFields = true
	name, value, _ := bytes.Cut(p.line, []byte(":"))
	if string(name) == "id" {
		p.id, p.hasID = string(bytes.TrimSpace(value)), true
	}
}

// endEvent ends the current event. A block of comments is none.
func (p *Parser) endEvent() {
	p.complete = p.read
	if p.hasFields {
		p.events++
	}
	if p.hasID {
		p.lastID = p.id
		if p.firstID == "" {
			p.firstID = p.id
		}
	}
	p.hasFields, p.hasID = false, false
}
