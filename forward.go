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

// Call is a client's request, which is forwarded unaltered.
type Call struct {
	Method string
	URI    string // path and query, as received
	Host   string
	Header http.Header
	Body   []byte
	// HeadReadAt is when the head of the call was read, zero if that is not known. The time limits of the
	// call count from then.
	HeadReadAt time.Time
	CallInfo
}

// MaxPieces is how many pieces of all stages together a request may have. The target of the request gets the handles of
// results in a head of at most some 64 KB, which is room for 2,500 of 26 bytes.
const MaxPieces = 4096

// CallInfo is what a gateway needs to know about a call. A Dialect reads it from the header.
type CallInfo struct {
	// ID identifies the call; targets echo it.
	ID string
	// Credential is the client's key, "" if there is none.
	Credential string
	// ClientTimeout is how long the client waits for the answer; 0 when the call doesn't specify it.
	ClientTimeout time.Duration
	// Model is the model that the call asks for, "" if it names none.
	Model string
	// Prompt lists the parts of the prompt in order. The last one is the request's own;
	// requests may share the others.
	Prompt []PromptPart
	// MaxOutputTokens is the maximum number of output tokens.
	MaxOutputTokens int
	// PieceCounts is the number of pieces per stage, indexed by stage; 0 skips the stage.
	PieceCounts []int
	// PieceKey is passed to the stages that read no results of other stages.
	PieceKey string
	// LastEventID is the ID of the last event that the client received.
	LastEventID string
	// Resumes is the ID of the earlier call that brought the client the first event of the stream
	// which this one takes up, "" if the client states none.
	Resumes string
}

// PromptPart is a part of a prompt, identified by its content.
type PromptPart struct {
	ID     string // of the content
	Tokens int    // length
}

// Attempt is what a gateway adds to a call when it sends the call to a target.
type Attempt struct {
	Target    Target
	Account   string        // name of the client account, "" if there is none
	Remaining time.Duration // until the deadline of the call
	Urgency   int           // priority from 0, the most urgent, to 9
	Inputs    []string      // handles of the results that the target reads
	// AtMostOnce is set for a call that may run only once. It is sent on a new connection:
	// if that can't be opened, the call did not run. An idle connection may have broken
	// unnoticed, and a call that was written to it may have run.
	AtMostOnce bool
	// ResumeAfter is the ID of the last event that the client received, to resume a
	// stream there; "" starts the stream from its beginning.
	ResumeAfter string
}

// ReplyInfo is what a gateway needs to know about a target's answer. A Dialect
// reads it from the status and the header.
type ReplyInfo struct {
	// ID is the ID of the call that was answered, "" when the answer doesn't state it.
	ID string
	// Sealed is set when the answer has the target's signature.
	Sealed bool
	// NotRun is set when the target states that the call did not run, or another target answered.
	NotRun bool
	// Misdirected is set when a target other than the addressed one answered.
	Misdirected bool
	// InputMissing is set when the target could not get a result that it had to read.
	InputMissing bool
	// Load is the target's load report, zero if the answer has none.
	Load LoadReport
	// InvalidLoad is a load report that can't be used, "" if the report is valid or missing. The
	// previous report remains in use.
	InvalidLoad string
	// Advisory is what the target announces about further requests.
	Advisory Advisory
}

// Framing is how the end of an answer's body is marked.
type Framing string

// The framings. An answer with FramedByConnection that was broken off in order looks like a
// complete one; only its content can show the difference.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // the body ends with its connection
)

// Reply is a target's answer of which the head was received.
type Reply struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Length is the length of the body in bytes, -1 when it is not announced.
	Length int64
	Info   ReplyInfo
	// Relay is the address of the peer through which the target was reached, "" for none.
	Relay string
	// Body must be closed. Reading a truncated answer ends with an error other
	// than io.EOF.
	Body io.ReadCloser
}

// Dialect translates between calls and the header fields of a platform. It is
// stateless and makes no decisions.
type Dialect interface {
	// Read reads the CallInfo of a client's request.
	Read(h http.Header) (CallInfo, error)
	// EndToEnd reports whether a field belongs to the platform's protocol. Such a
	// field is forwarded even when Connection names it, so that no client can have
	// one removed from its request on the way.
	EndToEnd(name string) bool
	// OutgoingHeader returns the header of one attempt; it doesn't modify the header of c.
	OutgoingHeader(c *Call, a Attempt) http.Header
	// ReadReply reads the ReplyInfo of an answer to a call that was addressed to a target id, "" for
	// whichever target has the address.
	ReadReply(status int, h http.Header, addressed string) ReplyInfo
	// SetRetryAfter adds to the header of a refusal after which time the client may retry.
	SetRetryAfter(h http.Header, after time.Duration)
}

// AnswerWriter writes the answer to a call.
type AnswerWriter interface {
	// Begin writes the status and the header. It doesn't retain h.
	Begin(status int, h http.Header)
	// Chunk writes a part of the body and flushes it.
	Chunk(b []byte) error
}

// ErrTruncated is returned for an answer that had begun and can't be completed.
var ErrTruncated = errors.New("the answer was cut")

// Sender forwards calls to targets.
type Sender interface {
	// Send returns once the head of the answer to c was received. Errors are
	// *Error: NotRun when nothing was sent, MayHaveRun otherwise. Canceling ctx
	// closes the connection.
	Send(ctx context.Context, c *Call, a Attempt) (*Reply, error)
}

// Identifier queries targets for their incarnation.
type Identifier interface {
	// Start returns the start of the incarnation that runs at a target, as Target.Start is, and false if the
	// target does not say.
	Start(ctx context.Context, t Target) (start int64, ok bool)
}

// Piece is one item of a stage call.
type Piece struct {
	Call      string        // ID of the request
	Stage     int           // number of the stage, from 0
	Index     int           // number of the piece in the stage of the request, from 0
	Key       string        // piece key of the request, for stages without inputs
	Inputs    []string      // handles of the results to read, for stages with inputs
	Remaining time.Duration // until the deadline of the piece
}

// PieceFailure is the reason why a piece was not made.
type PieceFailure string

// The reasons why a piece was not made. Targets send the values of all but
// PieceNoTarget and PieceCrashes.
const (
	PieceExpired   PieceFailure = "late"  // the deadline of the piece passed
	PieceInputGone PieceFailure = "gone"  // an input no longer exists
	PieceNoMemory  PieceFailure = "room"  // the target has no memory for the result
	PieceError     PieceFailure = "error" // making the piece failed
	// PieceNoTarget is set by the broker: no target may make the piece.
	PieceNoTarget PieceFailure = "no target"
	// PieceCrashes is set by the broker: targets crashed while they made pieces of the
	// same request content.
	PieceCrashes PieceFailure = "crashes targets"
)

// PieceResult is the handle of a piece's result, or the reason why there is none.
type PieceResult struct {
	Handle  string // "" on failure
	Failure PieceFailure
}

// StagePool calls the targets of stage pools. A piece is made when its result has been computed.
type StagePool interface {
	// Make runs one call with pieces at t. The results are in the order of the pieces. An
	// error means that the call as a whole failed.
	Make(ctx context.Context, t Target, pieces []Piece) ([]PieceResult, error)
	// Free releases results that are held by the target at address.
	Free(ctx context.Context, address string, handles []string) error
	// Holder returns the address of the target that holds the result of a handle.
	Holder(handle string) string
}
