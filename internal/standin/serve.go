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

// Server is a stand-in that listens at Address, an IP:port.
type Server struct {
	Address string
	server  *http.Server
}

// Listen serves h at address; with port 0 the system chooses a free port.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	s := &Server{Address: l.Addr().String(), server: &http.Server{Handler: h}}
	go func() { _ = s.server.Serve(l) }() // returns on Close or Shutdown
	return s, nil
}

// Close stops the server at once and breaks its open connections.
func (s *Server) Close() { _ = s.server.Close() }

// Shutdown stops the server once all calls in progress have ended, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// controlTimeout limits one call of SendControl.
const controlTimeout = 5 * time.Second

// SendControl sends body as JSON to a path of the stand-in at address, such as a fault
// switch. It fails unless the answer is 200.
func SendControl(method, address, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s: status %d", address, path, response.StatusCode)
	}
	return nil
}

// Announce adds or changes an instance on the Instances stand-in at listAddress, an IP:port.
func Announce(listAddress string, i hookhall.Instance) error {
	return SendControl(http.MethodPut, listAddress, "/standin/instance", i)
}
