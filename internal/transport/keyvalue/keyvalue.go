// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package keyvalue is a client of the platform's key-value service.
//
// # Model
//
// The service has the HTTP interface that is common to such services: GET and PUT
// of /v1/kv/KEY, a modification index per key, ?cas=INDEX for a compare-and-swap
// and ?index=N&wait=T for a blocking read. Every HTTP call, a blocking read too,
// counts against the quota of the service. A Client counts its calls, and a rate
// limit keeps a process from flooding the service when everything fails at once.
//
// # Invariants
//
//   - A call that gets no answer, or one with a status other than 200 and 404,
//     returns an error that wraps hookhall.ErrUnavailable. Its write may have
//     taken effect.
//   - A value larger than MaxValueBytes is refused before it is sent.
package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/transport/httpclient"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// MaxValueBytes is the maximum size of a value at the service, in bytes.
const MaxValueBytes = 1 << 20

const (
	// callTimeout bounds one call other than a watch.
	callTimeout = 2 * time.Second
	// watchTimeoutMargin is how much longer than its wait time a watch may take.
	watchTimeoutMargin = 3 * time.Second
	// maxCallsPerSecond and maxCallBurst bound the rate of this process's calls. A
	// burst covers reading all chunks of a table.
	maxCallsPerSecond = 20
	maxCallBurst      = 200
)

// Client is a hookhall.KeyValue. Its methods may be called concurrently. A call waits
// while the rate limit is reached.
type Client struct {
	baseURL          string
	client           *http.Client
	limiter          *rate.Limiter
	calls            atomic.Int64
	bytesTransferred atomic.Int64
}

// New returns a Client of the service at address, an IP address and port.
func New(address string) *Client {
	return &Client{
		baseURL: "http://" + address + "/v1/kv/", client: &http.Client{Transport: httpclient.NewDefaultTransport()},
		limiter: rate.NewLimiter(maxCallsPerSecond, maxCallBurst),
	}
}

// Calls returns the number of HTTP calls made so far, failed ones included.
func (c *Client) Calls() int64 { return c.calls.Load() }

// BytesTransferred returns the total size of the answers read and the values written,
// in bytes.
func (c *Client) BytesTransferred() int64 { return c.bytesTransferred.Load() }

// pair is an entry as the service encodes it.
type pair struct {
	Value       []byte // base64 in JSON
	ModifyIndex uint64
}

// Get implements hookhall.KeyValue.
func (c *Client) Get(ctx context.Context, key string) (hookhall.KeyValueEntry, error) {
	return c.readPair(ctx, key, nil, callTimeout)
}

// Watch implements hookhall.KeyValue. With index 0, a key that exists is returned at
// once.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (hookhall.KeyValueEntry, error) {
	if index == 0 {
		entry, err := c.Get(ctx, key)
		if err != nil || entry.Index > 0 {
			return entry, err
		}
	}
	query := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {fmt.Sprintf("%dms", wait.Milliseconds())}}
	return c.readPair(ctx, key, query, wait+watchTimeoutMargin)
}

// readPair reads a key. A missing key is a zero KeyValueEntry.
func (c *Client) readPair(ctx context.Context, key string, query url.Values, timeout time.Duration) (hookhall.KeyValueEntry, error) {
	status, body, err := c.call(ctx, http.MethodGet, key, query, nil, timeout)
	if err != nil || status == http.StatusNotFound {
		return hookhall.KeyValueEntry{}, err
	}
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil || len(pairs) != 1 {
		return hookhall.KeyValueEntry{}, errors.Wrapf(hookhall.ErrUnavailable, "key %s: not a pair", key)
	}
	return hookhall.KeyValueEntry{Value: pairs[0].Value, Index: pairs[0].ModifyIndex}, nil
}

// CompareAndSwap implements hookhall.KeyValue. A value larger than MaxValueBytes is an
// error, without a call.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, errors.Errorf("key %s: %d bytes are more than the service holds (%d)", key, len(value), MaxValueBytes)
	}
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	_, body, err := c.call(ctx, http.MethodPut, key, query, value, callTimeout)
	return err == nil && strings.TrimSpace(string(body)) == "true", err
}

// Delete implements hookhall.KeyValue.
func (c *Client) Delete(ctx context.Context, key string) error {
	_, _, err := c.call(ctx, http.MethodDelete, key, nil, nil, callTimeout)
	return err
}

// call makes one HTTP call, which may take timeout after the rate limit admits it. It
// returns the status, which is 200 or 404, and the body.
func (c *Client) call(ctx context.Context, method, key string, query url.Values, value []byte, timeout time.Duration) (int, []byte, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, nil, errors.Wrap(hookhall.ErrUnavailable, "call budget")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	callURL := c.baseURL + key
	if len(query) > 0 {
		callURL += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, callURL, bytes.NewReader(value))
	if err != nil {
		return 0, nil, errors.Wrap(err, "key-value service")
	}
	c.calls.Add(1)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrapf(hookhall.ErrUnavailable, "%s %s: %v", method, key, err)
	}
	defer resp.Body.Close()
	// Twice the size of a value leaves room for its encoding in base64.
	body, err := io.ReadAll(io.LimitReader(resp.Body, 2*MaxValueBytes))
	if err != nil {
		return 0, nil, errors.Wrapf(hookhall.ErrUnavailable, "%s %s: %v", method, key, err)
	}
	c.bytesTransferred.Add(int64(len(body) + len(value)))
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return 0, nil, errors.Wrapf(hookhall.ErrUnavailable, "%s %s: status %d", method, key, resp.StatusCode)
	}
	return resp.StatusCode, body, nil
}
