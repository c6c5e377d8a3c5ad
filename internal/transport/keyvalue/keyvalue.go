// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package keyvalue speaks to the platform's key-value service.
//
// # Model
//
// The service is met through the published HTTP interface that such services
// share: GET and PUT of /v1/kv/KEY, a modification index per key, ?cas=INDEX
// for a compare-and-swap and ?index=N&wait=T for a read that waits. Each HTTP
// call counts at the service, a waiting one too; Calls tells how many this
// process has made, and a budget keeps it from flooding the service when
// everything fails at once.
//
// # Invariants
//
//   - Any failure without an answer is hookhall.ErrUnavailable: a write may
//     have taken effect.
//   - A value larger than MaxValue is refused before it is sent.
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
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// MaxValue is the service's bound on a value.
const MaxValue = 1 << 20

const (
	callTimeout = 2 * time.Second
	// watchTimeoutMargin is how much longer than asked a watch may take.
	watchTimeoutMargin = 3 * time.Second
	// maxCallsPerSecond and maxCallBurst bound this process's calls. A burst covers
	// reading all chunks of a table.
	maxCallsPerSecond = 20
	maxCallBurst      = 200
)

// Client is a hookhall.KeyValue.
type Client struct {
	baseURL          string
	client           *http.Client
	limiter          *rate.Limiter
	calls            atomic.Int64
	bytesTransferred atomic.Int64
}

// New makes a client of the service at address, an IP number and a port.
func New(address string) *Client {
	return &Client{
		baseURL: "http://" + address + "/v1/kv/", client: &http.Client{},
		limiter: rate.NewLimiter(maxCallsPerSecond, maxCallBurst),
	}
}

// Calls is how many calls this process has made, Bytes what it has read.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Bytes is the sum of the values read and written.
func (c *Client) Bytes() int64 { return c.bytesTransferred.Load() }

// pair is the service's form of an entry.
type pair struct {
	Value       []byte // base64 in JSON
	ModifyIndex uint64
}

// Get implements hookhall.KeyValue.
func (c *Client) Get(ctx context.Context, key string) (hookhall.Entry, error) {
	return c.readPair(ctx, key, nil, callTimeout)
}

// Watch implements hookhall.KeyValue.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (hookhall.Entry, error) {
	if index == 0 {
		e, err := c.Get(ctx, key)
		if err != nil || e.Index > 0 {
			return e, err
		}
	}
	q := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {fmt.Sprintf("%dms", wait.Milliseconds())}}
	return c.readPair(ctx, key, q, wait+watchTimeoutMargin)
}

func (c *Client) readPair(ctx context.Context, key string, q url.Values, limit time.Duration) (hookhall.Entry, error) {
	status, body, err := c.call(ctx, http.MethodGet, key, q, nil, limit)
	if err != nil || status == http.StatusNotFound {
		return hookhall.Entry{}, err
	}
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil || len(pairs) != 1 {
		return hookhall.Entry{}, errors.Wrapf(hookhall.ErrUnavailable, "key %s: not a pair", key)
	}
	return hookhall.Entry{Value: pairs[0].Value, Index: pairs[0].ModifyIndex}, nil
}

// CompareAndSwap implements hookhall.KeyValue.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if len(value) > MaxValue {
		return false, errors.Errorf("key %s: %d bytes are more than the service holds (%d)", key, len(value), MaxValue)
	}
	q := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	_, body, err := c.call(ctx, http.MethodPut, key, q, value, callTimeout)
	return err == nil && strings.TrimSpace(string(body)) == "true", err
}

// Delete implements hookhall.KeyValue.
func (c *Client) Delete(ctx context.Context, key string) error {
	_, _, err := c.call(ctx, http.MethodDelete, key, nil, nil, callTimeout)
	return err
}

func (c *Client) call(ctx context.Context, method, key string, q url.Values, value []byte, limit time.Duration) (int, []byte, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, nil, errors.Wrap(hookhall.ErrUnavailable, "call budget")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	address := c.baseURL + key
	if len(q) > 0 {
		address += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(value))
	if err != nil {
		return 0, nil, errors.Wrap(err, "key-value service")
	}
	c.calls.Add(1)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrapf(hookhall.ErrUnavailable, "%s %s: %v", method, key, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 2*MaxValue))
	if err != nil {
		return 0, nil, errors.Wrapf(hookhall.ErrUnavailable, "%s %s: %v", method, key, err)
	}
	c.bytesTransferred.Add(int64(len(body) + len(value)))
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return 0, nil, errors.Wrapf(hookhall.ErrUnavailable, "%s %s: status %d", method, key, resp.StatusCode)
	}
	return resp.StatusCode, body, nil
}
