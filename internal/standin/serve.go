// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// Server is a stand-in that listens.
type Server struct {
	Address string
	server  *http.Server
}

// Listen serves a stand-in at address; port 0 takes a free one.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	s := &Server{Address: l.Addr().String(), server: &http.Server{Handler: h}}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	return s, nil
}

// Close ends the stand-in at once, cutting off what is in progress.
func (s *Server) Close() { _ = s.server.Close() }

// Shutdown ends it when nothing is in progress any more.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// callTime bounds one control call.
const callTime = 5 * time.Second

// Control sends a switch or another control message to a stand-in.
func Control(method, address, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s: status %d", address, path, resp.StatusCode)
	}
	return nil
}

// Announce puts an instance on the list at address.
func Announce(list string, i hookhall.Instance) error {
	return Control(http.MethodPut, list, "/standin/instance", i)
}
