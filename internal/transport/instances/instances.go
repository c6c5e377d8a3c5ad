// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package instances reads the platform's instance list over HTTP.
//
// GET /v1/instances gives a JSON array of hookhall.Instance. The list lags and
// may fail; callers keep the last one they read.
package instances

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
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
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: status %d", resp.StatusCode)
	}
	var list []hookhall.Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(&list); err != nil {
		return nil, errors.Wrapf(hookhall.ErrUnavailable, "instance list: %v", err)
	}
	return list, nil
}
