// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/load"
	pb "github.com/hookhall/hookhall/internal/protocol/peerpb"
	"github.com/hookhall/hookhall/internal/protocol/wire"
	"github.com/hookhall/hookhall/internal/state/view"
	"github.com/hookhall/hookhall/internal/transport/peers"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// post sends a body to the first entry, without an Authorization header if key is empty. It
// returns the problem document, which is empty if the status is 200, and the response with
// its body closed.
func (c *cluster) post(body, key, idempotency string) (*wire.Problem, *http.Response) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entries[0].callersAddress+"/v1/run", strings.NewReader(body))
	c.must(err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set(wire.HeaderIdempotencyKey, idempotency)
	response, err := operatorClient.Do(req)
	c.must(err)
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	c.must(err)
	problem := &wire.Problem{}
	if response.StatusCode != http.StatusOK {
		c.must(json.Unmarshal(responseBody, problem))
	}
	return problem, response
}

// TestInvalidRequests guards against invalid requests that reach a target, or that are
// refused without the cause and the verdict "not-run", and against callers that can use the
// operators' endpoints.
func TestInvalidRequests(t *testing.T) {
	Convey("Invalid requests are refused with their cause", t, func() {
		c := newCluster(t, options{})
		validKey := load.Account{Name: "venues"}.Key()
		cases := []struct {
			name, body, key, idempotency string
			status                       int
			detail                       string
		}{
			{"no JSON", `{"pipeline":`, validKey, "", 400, "not a run request"},
			{"another type", `{"pipeline":7}`, validKey, "", 400, "not a run request"},
			{"unknown field", `{"pipeline":"recap","colour":1}`, validKey, "", 400, "colour"},
			{"two documents", `{"pipeline":"recap"}{}`, validKey, "", 400, "goes on"},
			{"no pipeline", `{"input":"x"}`, validKey, "", 400, "pipeline is missing"},
			{"unknown pipeline", `{"pipeline":"nothing"}`, validKey, "", 404, "nothing"},
			{"unknown class", `{"pipeline":"recap","class":"none"}`, validKey, "", 400, "none"},
			{"negative deadline", `{"pipeline":"recap","deadline_ms":-1}`, validKey, "", 400, "deadline_ms"},
			{"too many tokens", `{"pipeline":"recap","max_tokens":1000000}`, validKey, "", 400, "max_tokens"},
			{"no key", `{"pipeline":"recap"}`, "", "", 401, "key is missing"},
			{"wrong key", `{"pipeline":"recap"}`, "nobody's", "", 401, "no account"},
			{"operator's token", `{"pipeline":"recap"}`, operatorToken, "", 401, "no account"},
			{"long idempotency key", `{"pipeline":"recap"}`, validKey, strings.Repeat("k", 201), 400, "longer"},
			{"idempotency key with space", `{"pipeline":"recap"}`, validKey, "a b", 400, "printable"},
			{"oversize body", `{"pipeline":"recap","input":"` + strings.Repeat("x", 1<<20) + `"}`, validKey, "", 413, "larger"},
		}
		for _, x := range cases {
			p, resp := c.post(x.body, x.key, x.idempotency)
			So(x.name+": "+p.Detail, ShouldContainSubstring, x.detail)
			So(resp.StatusCode, ShouldEqual, x.status)
			So(p.Verdict, ShouldEqual, "not-run")
			So(resp.Header.Get("Content-Type"), ShouldEqual, wire.ProblemMediaType)
		}
		So(c.ledger(), ShouldBeEmpty)
		Convey("and callers can't use the operators' endpoints", func() {
			for _, path := range []string{"/debug/state", "/debug/explain?account=venues", "/metrics"} {
				req, err := http.NewRequest(http.MethodGet, "http://"+c.entries[0].callersAddress+path, nil)
				So(err, ShouldBeNil)
				req.Header.Set("Authorization", "Bearer "+validKey)
				resp, err := operatorClient.Do(req)
				So(err, ShouldBeNil)
				_ = resp.Body.Close()
				So(resp.StatusCode, ShouldEqual, http.StatusUnauthorized)
			}
		})
	})
}

// TestRateLimitRefusal guards against requests over the account's rate that are served, or
// refused without the verdict "not-run" and a retry time.
func TestRateLimitRefusal(t *testing.T) {
	Convey("Requests over the account's rate are refused with a retry time", t, func() {
		c := newCluster(t, options{extraEdits: []hookhall.Edit{forcedEdit("accounts", "venues", "rate", "1")}})
		k := c.kind("recap")
		refused := 0
		for i := 0; i < 12; i++ {
			o := c.send(i%3, k, "limit-"+string(rune('a'+i)), "")
			if o.Problem == nil {
				continue
			}
			refused++
			So(o.Problem.Cause, ShouldEqual, "limit")
			So(o.Problem.Verdict, ShouldEqual, "not-run")
			So(o.Problem.RetryAfterMS, ShouldBeGreaterThan, 0)
			t.Logf("refused after %v, retry after %d ms", o.Latency, o.Problem.RetryAfterMS)
		}
		So(refused, ShouldBeGreaterThan, 8)
	})
}

// TestInvalidPeerCalls guards against calls at the peer port that change the fleet's state
// or flood the log: foreign versions, wrong secrets, garbage, oversize frames and
// inconsistent views.
func TestInvalidPeerCalls(t *testing.T) {
	Convey("At the peer port", t, func() {
		c := newCluster(t, options{})
		address := c.entries[0].peersAddress
		before, err := c.entries[0].state()
		So(err, ShouldBeNil)
		conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		So(err, ShouldBeNil)
		defer conn.Close()
		peer := pb.NewPeerClient(conn)
		call := func(version, callSecret string) error {
			ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(),
				"hookhall-version", version, "hookhall-secret", callSecret), 5*time.Second)
			defer cancel()
			_, err := peer.Probe(ctx, &pb.ProbeRequest{From: "stranger"})
			return err
		}
		Convey("another version, or a wrong secret, is refused", func() {
			So(status.Code(call("2", fleetSecret)), ShouldEqual, codes.FailedPrecondition)
			So(status.Code(call("", fleetSecret)), ShouldEqual, codes.FailedPrecondition)
			So(status.Code(call(peers.ProtocolVersion, "wrong")), ShouldEqual, codes.Unauthenticated)
			So(call(peers.ProtocolVersion, fleetSecret), ShouldBeNil)
		})
		Convey("a flood of refused calls is logged at a bounded rate", func() {
			for i := 0; i < 300; i++ {
				So(call("9", fleetSecret), ShouldNotBeNil)
			}
			s, err := c.entries[0].state()
			So(err, ShouldBeNil)
			So(s.Cost.PeerRefusals, ShouldBeGreaterThanOrEqualTo, 300)
			So(strings.Count(c.entries[0].logs(), "peer call refused"), ShouldBeLessThan, 60)
		})
		Convey("garbage, oversize frames and a view that has one member twice change nothing", func() {
			raw, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			_, _ = raw.Write(bytes.Repeat([]byte("garbage"), 10000)) // the server may hang up
			_ = raw.Close()
			clients := peers.NewClients(fleetSecret)
			defer clients.Close()
			p := clients.Peer(address)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			m := before.Members[0]
			twice := view.Encode(&hookhall.View{Epoch: 99, Revision: 99, Members: []hookhall.Member{m, m}})
			for _, v := range [][]byte{twice, []byte("{"), bytes.Repeat([]byte("x"), 1<<20)} {
				_, err := p.Probe(ctx, hookhall.Probe{From: "stranger", View: v})
				So(err, ShouldBeNil)
			}
			_, err = p.Probe(ctx, hookhall.Probe{From: "stranger", View: make([]byte, peers.MaxMessageBytes+1)})
			So(status.Code(err), ShouldEqual, codes.ResourceExhausted)
			_, err = p.Claim(ctx, hookhall.ClaimRequest{Epoch: before.Epoch, Token: 1})
			So(status.Code(err), ShouldEqual, codes.InvalidArgument)
			s, err := c.entries[0].state()
			So(err, ShouldBeNil)
			So(s.Epoch, ShouldEqual, before.Epoch)
			So(c.send(0, c.kind("recap"), "still", "").Answered, ShouldBeTrue)
		})
	})
}
