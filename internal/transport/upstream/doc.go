// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package upstream sends HTTP/1.1 requests to targets over its own connections.
//
// # Model
//
// A Pool keeps idle connections by address. A connection carries one request at a
// time. The standard library writes requests and parses answers, but it never
// decides to resend a request on another connection: each request is sent once.
//
// A request returns once the head of the answer with its call's ID has been
// received. Answers to earlier requests are read and dropped. A connection is kept
// only if the request was written completely, the answer was read to its framed
// end, no bytes follow it, and neither side asked to close. If only the body can show
// whose the answer is, the caller has to confirm that as well.
//
// A target may answer before it has read the request. An answer that ends with its
// connection is complete only if the target then takes the rest of the request, because a
// connection that breaks may look as if it had ended in order.
//
// A target accepts a limited number of connections from all processes together and
// resets others. So an idle connection is kept only while requests for kept
// connections arrive, and within this process's share of the idle connections that the
// target allows. After a new connection was reset, the next ones are watched for a
// reset for about a round trip before a request is written.
//
// # Invariants
//
//   - An error has the verdict NotRun only if not a byte of the request was written.
//   - A body that was cut or reset ends with an error other than io.EOF.
//   - Ending the context closes the connection.
package upstream
