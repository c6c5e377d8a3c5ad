// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/wire"
	"github.com/hookhall/hookhall/internal/transport/httpclient"
	"github.com/pkg/errors"
)

// answerGracePeriod is the time that a client waits beyond its deadline for the final
// answer, so that a refusal at the deadline is received and not counted as lost.
const answerGracePeriod = 2 * time.Second

// hashKey returns the SHA-256 of an account key in hexadecimal, as the table stores it.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Outcome is the result of one request. With neither Answered nor Problem, the request was
// lost, and Err has the reason.
type Outcome struct {
	Kind              Kind
	Tag               string
	IdempotencyKey    string // empty if none was sent
	RequestID         string
	Entry             string // IP:port
	StartedAt         time.Time
	Latency           time.Duration // from sending until the end of the answer or the failure
	FirstTokenLatency time.Duration // from sending until the first text of a stream; 0 without one
	// Answered is set if a complete answer arrived: length and checksum of Output match.
	Answered bool
	Output   string
	Replayed bool // the answer is of an earlier request with the same key
	Cost     []hookhall.StageCost
	// Problem is the final refusal, if there was one.
	Problem *wire.Problem
	Err     error
}

// InTime reports whether the complete answer arrived within the deadline.
func (o *Outcome) InTime() bool {
	return o.Answered && o.Latency <= time.Duration(o.Kind.DeadlineMS)*time.Millisecond
}

// Client sends requests to entries. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a Client that reuses connections.
func NewClient() *Client {
	return &Client{&http.Client{Transport: httpclient.NewTransport(&http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true})}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends one request of a kind to the entry at an IP:port and waits for its outcome,
// at most until answerGracePeriod after the deadline. An empty idempotencyKey is not sent.
// Send never retries.
func (c *Client) Send(ctx context.Context, entry, accountKey string, kind Kind, tag, idempotencyKey string) *Outcome {
	outcome := &Outcome{Kind: kind, Tag: tag, IdempotencyKey: idempotencyKey, Entry: entry, StartedAt: time.Now()}
	timeout := time.Duration(kind.DeadlineMS)*time.Millisecond + answerGracePeriod
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	repeatable := kind.Repeatable
	body, err := json.Marshal(wire.RunRequest{
		Pipeline: kind.Pipeline, Input: Input(kind, tag), MaxTokens: kind.Tokens,
		DeadlineMS: kind.DeadlineMS, Repeatable: &repeatable, Stream: kind.Stream,
	})
	if err != nil {
		outcome.Err = err
		return outcome
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/run", bytes.NewReader(body))
	if err != nil {
		outcome.Err = err
		return outcome
	}
	// Without a body to replay, net/http can't retry the request by itself.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+accountKey)
	if idempotencyKey != "" {
		request.Header.Set(wire.HeaderIdempotencyKey, idempotencyKey)
	}
	outcome.Err = c.exchange(request, outcome)
	outcome.Latency = time.Since(outcome.StartedAt)
	return outcome
}

// exchange sends a request and reads its answer into o.
func (c *Client) exchange(request *http.Request, o *Outcome) error {
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	o.RequestID = response.Header.Get(wire.HeaderRequestID)
	if response.StatusCode != http.StatusOK {
		o.Problem = &wire.Problem{}
		if err := json.NewDecoder(response.Body).Decode(o.Problem); err != nil {
			o.Problem = nil
			return errors.Wrapf(err, "status %d", response.StatusCode)
		}
		return nil
	}
	if !o.Kind.Stream {
		var answer wire.RunAnswer
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			return err
		}
		return o.acceptAnswer(answer.Output, &answer)
	}
	return o.readStream(response.Body)
}

// readStream reads a streamed answer. A restart line discards the text before it.
func (o *Outcome) readStream(body io.Reader) error {
	decoder := json.NewDecoder(body)
	var text []byte
	for {
		var line wire.StreamLine
		if err := decoder.Decode(&line); err != nil {
			return errors.Wrap(err, "answer stream ended early")
		}
		switch {
		case line.Restart:
			text = text[:0]
		case line.Error != nil:
			o.Problem = line.Error
			return nil
		case line.End != nil:
			return o.acceptAnswer(string(text), line.End)
		default:
			if o.FirstTokenLatency == 0 {
				o.FirstTokenLatency = time.Since(o.StartedAt)
			}
			text = append(text, line.Text...)
		}
	}
}

// acceptAnswer completes o with an answer, after checking its length and checksum.
func (o *Outcome) acceptAnswer(output string, answer *wire.RunAnswer) error {
	if answer.Length != len(output) || answer.Checksum != wire.Checksum([]byte(output)) {
		return errors.New("answer does not match its length and checksum")
	}
	o.Answered, o.Output, o.Cost, o.Replayed = true, output, answer.Cost, answer.Replayed
	return nil
}
