// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package instances reads the platform's instance list over HTTP.
//
// GET /v1/instances returns a JSON array of hookhall.Instance. The list lags behind
// the platform and a read may fail; callers keep the last list they read. If the
// service sends an ETag, an unchanged list is not transferred again: for a thousand
// instances it has about 180 KB, which every entry would otherwise read every two
// seconds.
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
	"github.com/hookhall/hookhall/internal/transport/httpclient"
	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one read of the list, body included.
	callTimeout = 2 * time.Second
	// maxListBytes bounds the body of a list: more than forty times that of a thousand
	// instances. A longer one is cut and fails as invalid JSON.
	maxListBytes = 8 << 20
)

// Path is the path of the list at the service.
const Path = "/v1/instances"

// Client is a hookhall.InstanceList. Its methods may be called concurrently.
type Client struct {
	url       string
	client    *http.Client
	bytesRead atomic.Int64

	// mu is held for a whole read, so that reads don't overlap.
	mu       sync.Mutex
	etag     string
	lastList []hookhall.Instance
}

// New returns a Client of the service at address, an IP address and port.
func New(address string) *Client {
	return &Client{url: "http://" + address + Path, client: &http.Client{Transport: httpclient.NewDefaultTransport(), Timeout: callTimeout}}
}

// List implements hookhall.InstanceList. The returned slice is shared and must not be
// changed. A read that fails returns an error that wraps hookhall.ErrUnavailable.
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

// read reads a list and keeps it with its ETag. c.mu must be held.
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

// BytesRead returns the total size of all lists read, in bytes.
func (c *Client) BytesRead() int64 { return c.bytesRead.Load() }
