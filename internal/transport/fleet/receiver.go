// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// receiverKey is the metadata of a call with the instance that it is meant for. The address of an
// instance that is gone may be given to one of another fleet.
const receiverKey = "hookhall-receiver"

// instances knows the instance at each address of a peer. The zero value knows none. It is safe for
// concurrent use.
type instances struct{ byAddress sync.Map }

// learn records the instance at an address.
func (i *instances) learn(address, instance string) {
	if known, ok := i.byAddress.Load(address); !ok || known != instance {
		i.byAddress.Store(address, instance)
	}
}

// forget removes what is known of an address.
func (i *instances) forget(address string) { i.byAddress.Delete(address) }

// addReceiver adds the instance at an address to the metadata of a call, if it is known.
func (i *instances) addReceiver(ctx context.Context, address string) context.Context {
	if instance, ok := i.byAddress.Load(address); ok {
		return metadata.AppendToOutgoingContext(ctx, receiverKey, instance.(string))
	}
	return ctx
}

// dialOptions make all calls to an address say which instance they are meant for.
func (i *instances) dialOptions(address string) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithUnaryInterceptor(func(ctx context.Context, method string, request, reply any, c *grpc.ClientConn, call grpc.UnaryInvoker, options ...grpc.CallOption) error {
			return call(i.addReceiver(ctx, address), method, request, reply, c, options...)
		}),
		grpc.WithStreamInterceptor(func(ctx context.Context, d *grpc.StreamDesc, c *grpc.ClientConn, method string, open grpc.Streamer, options ...grpc.CallOption) (grpc.ClientStream, error) {
			return open(i.addReceiver(ctx, address), d, c, method, options...)
		}),
	}
}

// checkReceiver returns an error if a call is meant for an instance other than self. Calls that name
// none, as of processes that know the address only, are for any.
func checkReceiver(ctx context.Context, self string) error {
	for _, receiver := range metadata.ValueFromIncomingContext(ctx, receiverKey) {
		if receiver != self {
			return status.Errorf(codes.FailedPrecondition, "this is instance %s, not %s", self, receiver)
		}
	}
	return nil
}

// CheckUnaryReceiver returns an interceptor that rejects calls meant for an instance other than self.
func CheckUnaryReceiver(self string) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		if err := checkReceiver(ctx, self); err != nil {
			return nil, err
		}
		return handle(ctx, request)
	}
}

// CheckStreamReceiver is CheckUnaryReceiver for streams.
func CheckStreamReceiver(self string) grpc.StreamServerInterceptor {
	return func(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
		if err := checkReceiver(stream.Context(), self); err != nil {
			return err
		}
		return handle(server, stream)
	}
}
