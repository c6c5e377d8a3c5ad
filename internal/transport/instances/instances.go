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
	callTimeout  = 2 * time.Second
	maxListBytes = 8 << 20
)

// Path is where the list is.
const Path = "/v1/instances"

// Client is a hookhall.InstanceList.
type Client struct {
	url       string
	client    *http.Client
	bytesRead atomic.Int64

	mu       sync.Mutex
	etag     string
	lastList []hookhall.Instance
}

// New makes a client of the list at address, an IP number and a port.
func New(address string) *Client {
	return &Client{url: "http://" + address + Path, client: &http.Client{Timeout: callTimeout}}
}

// List implements hookhall.InstanceList.
func (c *Client) List(ctx context.Context) ([]hookhall.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: %v", err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && c.etag != "":
		return c.lastList, nil
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: status %d", resp.StatusCode)
	}
	return c.read(resp)
}

// read takes in a whole list; c.mu is held.
func (c *Client) read(resp *http.Response) ([]hookhall.Instance, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: %v", err)
	}
	c.bytesRead.Add(int64(len(body)))
	var list []hookhall.Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: %v", err)
	}
	c.etag, c.lastList = resp.Header.Get("ETag"), list
	return list, nil
}

// Bytes is the sum of the lists read.
func (c *Client) Bytes() int64 { return c.bytesRead.Load() }
