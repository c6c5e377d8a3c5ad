// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"io"
	"net"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"google.golang.org/grpc"
)

// TestReceiver guards against calls that are handled by another instance than the one they are meant
// for, which has got its address, and against calls that are rejected by the right one.
func TestReceiver(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.UnaryInterceptor(CheckUnaryReceiver("gateway-1")), grpc.StreamInterceptor(CheckStreamReceiver("gateway-1")))
	pb.RegisterFleetServer(s, previousServer{})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	address := l.Addr().String()
	for name, c := range map[string]struct {
		known    string // the instance that the caller knows at the address
		accepted bool
	}{
		"the right instance": {"gateway-1", true},
		"another instance":   {"gateway-2", false},
		"not known":          {"", true},
	} {
		t.Run(name, func(t *testing.T) {
			clients := NewClients(log.New(io.Discard))
			if c.known != "" {
				clients.instances.learn(address, c.known)
			}
			client := clients.Client(address)
			defer client.close()
			if err := client.Ping(t.Context()); (err == nil) != c.accepted {
				t.Errorf("call: %v", err)
			}
			if _, err := client.Relay(t.Context(), hookhall.RelayRequest{}); (relayFailureOf(err) == hookhall.RelayUnsupported) != c.accepted {
				t.Errorf("stream: %v", err) // the server is of the previous version
			}
			clients.instances.forget(address)
			if err := client.Ping(t.Context()); err != nil {
				t.Errorf("call to an address that is forgotten: %v", err)
			}
		})
	}
}

// relayFailureOf returns the failure of an error of Relay.
func relayFailureOf(err error) hookhall.RelayFailure {
	if failure, ok := err.(*hookhall.RelayError); ok {
		return failure.Failure
	}
	return ""
}
