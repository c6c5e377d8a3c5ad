// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Call is one client's request, passed on unaltered.
type Call struct {
	Method string
	URI    string // path and query, as sent
	Host   string
	Header http.Header
	Body   []byte
	CallInfo
}

// CallInfo is what the product needs to know of a call; a Dialect reads them.
type CallInfo struct {
	// ID names the call; targets echo it.
	ID string
	// Credential is the client's key, "" without one.
	Credential string
	// Wait is how long the client waits; 0 when it doesn't say.
	Wait time.Duration
	// Prompt lists the parts of a prompt in order; the last is the request's own.
	Prompt []PromptPart
	// TokensOut is the most tokens that may come out.
	TokensOut int
	// Pieces has the number of pieces of each stage; 0 leaves a stage out.
	Pieces []int
	// PieceKey goes to stages that read no results.
	PieceKey string
	// LastEvent is the id of the last event that the client has.
	LastEvent string
}

// PromptPart is a part of a prompt, by its content's id.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is what the product adds when it sends a call to a target.
type Attempt struct {
	Target  Target
	Account string
	Left    time.Duration // of the call's deadline
	Urgency int           // 0 to 9, 0 first
	Inputs  []string      // results that the target reads
	// Once is set for a call that may run only once. It goes on a new connection:
	// a kept one may be dead without a sign, and what was written to it may have
	// run, while a connection that can't be opened proves that nothing ran.
	Once bool
	// After is the id of the last event that the client has, to resume a
	// stream; "" begins it.
	After string
}

// ReplyInfo is what the product needs to know of a target's answer; a Dialect
// reads them from its head.
type ReplyInfo struct {
	// ID is the call that the answer belongs to, "" when it doesn't say.
	ID string
	// Sealed is set when the answer bears the target's signature.
	Sealed bool
	// NotRun is the target's word that the call did not run.
	NotRun bool
	// Misdirected is set when another target answered.
	Misdirected bool
	// InputGone is set when the target lacked a result it had to read.
	InputGone bool
	// Load is the target's report, if one came.
	Load LoadReport
	// Advisory is what the target announces about further requests.
	Advisory Advisory
}

// Reply is a target's answer whose head has come.
type Reply struct {
	Status int
	Header http.Header
	// Length is the body's, -1 when it is not announced.
	Length int64
	Info   ReplyInfo
	// Body must be closed. An answer that was cut ends with an error other
	// than io.EOF.
	Body io.ReadCloser
}

// Dialect translates between calls and the header fields of a platform. It
// decides nothing and keeps nothing.
type Dialect interface {
	// Read reads a client's marks.
	Read(h http.Header) (CallInfo, error)
	// EndToEnd tells whether a field belongs to the platform's protocol. Such a
	// field is passed on even when Connection names it, so that no client can have
	// one taken off its request on the way.
	EndToEnd(name string) bool
	// Outgoing returns the header of one attempt; the call's own is not changed.
	Outgoing(c *Call, a Attempt) http.Header
	// ReadReply reads the marks of a target's answer.
	ReadReply(status int, h http.Header) ReplyInfo
	// Refusal writes when to come back.
	Refusal(h http.Header, after time.Duration)
}

// AnswerWriter is where an answer to a call is written.
type AnswerWriter interface {
	// Begin writes the head; h is not kept.
	Begin(status int, h http.Header)
	// Chunk writes a part of the body and sends it.
	Chunk(b []byte) error
}

// ErrCut is the error of an answer that had begun and can't be ended.
var ErrCut = errors.New("the answer was cut")

// Sender passes calls to targets.
type Sender interface {
	// Send returns once the head of the answer to c has come. Errors are
	// *Error: NotRun when nothing was sent, MayHaveRun otherwise. Ending ctx
	// closes the connection.
	Send(ctx context.Context, c *Call, a Attempt) (*Reply, error)
}

// Piece is one piece of a stage's work.
type Piece struct {
	Call   string // the request's id
	Stage  int
	Index  int
	Key    string   // for stages without inputs
	Inputs []string // handles, for stages with inputs
	Left   time.Duration
}

// PieceFailure says why a piece was not made.
type PieceFailure string

// The failures of pieces.
const (
	PieceLate   PieceFailure = "late"
	PieceGone   PieceFailure = "gone" // an input is gone
	PieceNoRoom PieceFailure = "room"
	PieceError  PieceFailure = "error"
	// PieceNoTarget is this product's own: no target may make the piece.
	PieceNoTarget PieceFailure = "no target"
	// PieceCrashes is this product's own: targets ended while they made pieces of the
	// same content.
	PieceCrashes PieceFailure = "crashes targets"
)

// PieceResult is a handle, or why there is none.
type PieceResult struct {
	Handle  string
	Failure PieceFailure
}

// StagePool makes pieces at targets.
type StagePool interface {
	// Make runs one call. The results are in the order of the pieces.
	Make(ctx context.Context, t Target, pieces []Piece) ([]PieceResult, error)
	// Free releases results of the target at address.
	Free(ctx context.Context, address string, handles []string) error
	// Maker is the address of the target that holds a result.
	Maker(handle string) string
}
