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
	"github.com/pkg/errors"
)

// graceAfterDeadline is how long a caller waits beyond its deadline for the
// final answer.
const graceAfterDeadline = 2 * time.Second

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Outcome is what became of one request.
type Outcome struct {
	Kind      Kind
	Tag       string
	Key       string
	RequestID string
	Entry     string
	Began     time.Time
	Took      time.Duration
	First     time.Duration
	// Answered: a whole answer came, with Output.
	Answered bool
	Output   string
	Replayed bool
	Cost     []hookhall.StageCost
	// Problem is the final refusal; with neither, the request was lost.
	Problem *wire.Problem
	Err     error
}

// InTime tells whether the whole answer came within the deadline.
func (o *Outcome) InTime() bool {
	return o.Answered && o.Took <= time.Duration(o.Kind.DeadlineMS)*time.Millisecond
}

// Client sends requests to entries.
type Client struct{ http *http.Client }

// NewClient makes a Client.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send runs one request at an entry.
func (c *Client) Send(ctx context.Context, entry, accountKey string, k Kind, tag, key string) *Outcome {
	o := &Outcome{Kind: k, Tag: tag, Key: key, Entry: entry, Began: time.Now()}
	limit := time.Duration(k.DeadlineMS)*time.Millisecond + graceAfterDeadline
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	repeatable := k.Repeatable
	body, err := json.Marshal(wire.RunRequest{
		Pipeline: k.Pipeline, Input: Input(k, tag), MaxTokens: k.Tokens,
		DeadlineMS: k.DeadlineMS, Repeatable: &repeatable, Stream: k.Stream,
	})
	if err != nil {
		o.Err = err
		return o
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/run", bytes.NewReader(body))
	if err != nil {
		o.Err = err
		return o
	}
	// The tool's own client must not send twice either.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+accountKey)
	if key != "" {
		req.Header.Set(wire.HeaderKey, key)
	}
	o.Err = c.exchange(req, o)
	o.Took = time.Since(o.Began)
	return o
}

func (c *Client) exchange(req *http.Request, o *Outcome) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	o.RequestID = resp.Header.Get(wire.HeaderRequestID)
	if resp.StatusCode != http.StatusOK {
		o.Problem = &wire.Problem{}
		if err := json.NewDecoder(resp.Body).Decode(o.Problem); err != nil {
			o.Problem = nil
			return errors.Wrapf(err, "status %d", resp.StatusCode)
		}
		return nil
	}
	if !o.Kind.Stream {
		var a wire.RunAnswer
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			return err
		}
		return o.take(a.Output, &a)
	}
	return o.readStream(resp.Body)
}

func (o *Outcome) readStream(body io.Reader) error {
	d := json.NewDecoder(body)
	var text []byte
	for {
		var l wire.StreamLine
		if err := d.Decode(&l); err != nil {
			return errors.Wrap(err, "the stream broke off")
		}
		switch {
		case l.Restart:
			text = text[:0]
		case l.Error != nil:
			o.Problem = l.Error
			return nil
		case l.End != nil:
			return o.take(string(text), l.End)
		default:
			if o.First == 0 {
				o.First = time.Since(o.Began)
			}
			text = append(text, l.Text...)
		}
	}
}

func (o *Outcome) take(output string, a *wire.RunAnswer) error {
	if a.Length != len(output) || a.Checksum != wire.Checksum([]byte(output)) {
		return errors.New("the answer is not whole")
	}
	o.Answered, o.Output, o.Cost, o.Replayed = true, output, a.Cost, a.Replayed
	return nil
}
