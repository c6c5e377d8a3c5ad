// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package instances reads the platform's instance list over HTTP.
//
// GET /v1/instances gives a JSON array of hookhall.Instance. The list lags and
// may fail; callers keep the last one they read. If the service marks its answers
// with an ETag, an unchanged list is not sent again: a thousand instances are some
// 180 KB, which every entry would else read every two seconds.
package instances

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

const (
	callTime = 2 * time.Second
	maxList  = 8 << 20
)

// Path is where the list is.
const Path = "/v1/instances"

// Client is a hookhall.InstanceList.
type Client struct {
	url    string
	client *http.Client
	bytes  atomic.Int64

	mu   sync.Mutex
	tag  string
	last []hookhall.Instance
}

// New makes a client of the list at address, an IP number and a port.
func New(address string) *Client {
	return &Client{url: "http://" + address + Path, client: &http.Client{Timeout: callTime}}
}

// List implements hookhall.InstanceList.
func (c *Client) List(ctx context.Context) ([]hookhall.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tag != "" {
		req.Header.Set("If-None-Match", c.tag)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: %v", err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && c.tag != "":
		return c.last, nil
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: status %d", resp.StatusCode)
	}
	return c.read(resp)
}

// read takes in a whole list; c.mu is held.
func (c *Client) read(resp *http.Response) ([]hookhall.Instance, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: %v", err)
	}
	c.bytes.Add(int64(len(body)))
	var list []hookhall.Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: %v", err)
	}
	c.tag, c.last = resp.Header.Get("ETag"), list
	return list, nil
}

// Bytes is the sum of the lists read.
func (c *Client) Bytes() int64 { return c.bytes.Load() }
