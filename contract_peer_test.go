// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/transport/peers"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
)

// echo is a handler of peers' calls that answers with what it received.
type echo struct{}

func (echo) HandleProbe(_ context.Context, p hookhall.Probe) hookhall.ProbeReply {
	return hookhall.ProbeReply{ID: p.From, Epoch: p.Epoch, TableVersion: p.TableVersion, View: p.View, LeavingTargets: p.LeavingTargets}
}
func (echo) HandleProbeFor(_ context.Context, address string) bool { return address == "reached" }
func (echo) HandleClaim(_ context.Context, q hookhall.ClaimRequest) hookhall.ClaimReply {
	return hookhall.ClaimReply{Outcome: hookhall.ClaimHeld, Epoch: q.Epoch, RetryAfter: time.Second,
		Record: hookhall.Record{Key: q.Key, Digest: q.Digest, Origin: q.Origin, Token: q.Token, State: hookhall.StateFinished, Answer: []byte("x")}}
}
func (echo) HandleCopy(epoch uint64, r hookhall.Record) hookhall.CopyReply {
	return hookhall.CopyReply{Stored: r.Sequence == 7 && time.Until(r.Expires) > time.Minute, Epoch: epoch}
}
func (echo) HandleSettle(_ context.Context, s hookhall.Settlement) hookhall.CopyReply {
	return hookhall.CopyReply{Stored: s.State == hookhall.StateUnknown && string(s.Answer) == "y", Epoch: s.Epoch}
}
func (echo) HandleFetch(f hookhall.FetchRequest) hookhall.FetchReply {
	return hookhall.FetchReply{Epoch: f.Epoch, Slots: []hookhall.SlotRecords{{Slot: f.Slots[0], CompleteThrough: 3, CompleteEpochs: []uint64{5},
		Records: []hookhall.Record{{Key: "k", Sequence: 2}}}}}
}
func (echo) HandleIsComplete(epoch uint64) bool { return epoch == 4 }
func (echo) HandleLeaseShares(r hookhall.ShareRequest) hookhall.ShareReply {
	demand := r.Demands[0]
	return hookhall.ShareReply{Epoch: r.Epoch, Leases: []hookhall.ShareLease{{Account: demand.Account, Rate: demand.Rate, Concurrency: demand.Concurrency + demand.Held, Limited: true, RetryAfter: time.Second}}}
}
func (echo) HandleTable(have uint64) hookhall.TableDocument {
	return hookhall.TableDocument{Version: have + 1, Root: []byte("r"), Chunks: [][]byte{[]byte("c")}}
}

// TestPeerContract guards against a field that is lost or altered between a peer's client and
// its server, for example because the conversion to protocol buffers omits it.
func TestPeerContract(t *testing.T) {
	Convey("A peer over gRPC returns the complete reply of its handler", t, func() {
		const secret = "the-secret"
		s := peers.NewServer(echo{}, secret, log.New(io.Discard))
		server := grpc.NewServer(grpc.UnaryInterceptor(s.Authenticate))
		s.Register(server)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = server.Serve(l) }() // ends with Stop
		Reset(server.Stop)
		clients := peers.NewClients(secret)
		Reset(clients.Close)
		p := clients.Peer(l.Addr().String())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		Reset(cancel)

		probe, err := p.Probe(ctx, hookhall.Probe{From: "a", Epoch: 2, TableVersion: 3, View: []byte("v"), LeavingTargets: []string{"t"}})
		So(err, ShouldBeNil)
		So(probe, ShouldResemble, hookhall.ProbeReply{ID: "a", Epoch: 2, TableVersion: 3, View: []byte("v"), LeavingTargets: []string{"t"}})
		reached, err := p.ProbeFor(ctx, "reached")
		So(err, ShouldBeNil)
		So(reached, ShouldBeTrue)
		claim, err := p.Claim(ctx, hookhall.ClaimRequest{Epoch: 9, Key: "k", Digest: 8, Origin: "o", Token: 7})
		So(err, ShouldBeNil)
		So(claim.Record.Digest, ShouldEqual, 8)
		So(string(claim.Record.Answer), ShouldEqual, "x")
		So(claim.RetryAfter, ShouldEqual, time.Second)
		stored, err := p.Copy(ctx, 5, hookhall.Record{Key: "k", Sequence: 7, Expires: time.Now().Add(time.Hour)})
		So(err, ShouldBeNil)
		So(stored, ShouldResemble, hookhall.CopyReply{Stored: true, Epoch: 5})
		settled, err := p.Settle(ctx, hookhall.Settlement{Epoch: 6, Key: "k", State: hookhall.StateUnknown, Answer: []byte("y")})
		So(err, ShouldBeNil)
		So(settled.Stored, ShouldBeTrue)
		fetched, err := p.Fetch(ctx, hookhall.FetchRequest{Epoch: 6, Slots: []uint32{11}})
		So(err, ShouldBeNil)
		So(fetched.Slots[0].Slot, ShouldEqual, 11)
		So(fetched.Slots[0].CompleteEpochs, ShouldResemble, []uint64{5})
		So(fetched.Slots[0].Records[0].Sequence, ShouldEqual, 2)
		complete, err := p.IsComplete(ctx, 4)
		So(err, ShouldBeNil)
		So(complete, ShouldBeTrue)
		lease, err := p.LeaseShares(ctx, hookhall.ShareRequest{From: "a", Demands: []hookhall.ShareDemand{{Account: "acme", Rate: 3, Held: 1, Concurrency: 2}}})
		So(err, ShouldBeNil)
		So(lease.Leases[0], ShouldResemble, hookhall.ShareLease{Account: "acme", Rate: 3, Concurrency: 3, Limited: true, RetryAfter: time.Second})
		table, err := p.Table(ctx, 3)
		So(err, ShouldBeNil)
		So(table.Version, ShouldEqual, 4)

		Convey("and fails at once when no process listens", func() {
			server.Stop()
			_, err := p.IsComplete(ctx, 4)
			So(err, ShouldNotBeNil)
			So(ctx.Err(), ShouldBeNil)
		})
	})
}

// reversed is an echo that answers the first call of Table after the second.
type reversed struct {
	echo
	firstArrived, secondAnswered chan struct{}
}

func (r reversed) HandleTable(have uint64) hookhall.TableDocument {
	if have == 1 {
		close(r.firstArrived)
		<-r.secondAnswered
	}
	return r.echo.HandleTable(have)
}

// TestPeerAnswersOutOfOrder guards against the answer to one call of a peer being taken for that to another
// on the same connection.
func TestPeerAnswersOutOfOrder(t *testing.T) {
	const secret = "the-secret"
	handler := reversed{echo{}, make(chan struct{}), make(chan struct{})}
	s := peers.NewServer(handler, secret, log.New(io.Discard))
	server := grpc.NewServer(grpc.UnaryInterceptor(s.Authenticate))
	s.Register(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }() // ends with Stop
	defer server.Stop()
	clients := peers.NewClients(secret)
	defer clients.Close()
	p := clients.Peer(l.Addr().String())
	first := make(chan uint64)
	go func() {
		table, _ := p.Table(t.Context(), 1) // version 0 after an error
		first <- table.Version
	}()
	<-handler.firstArrived
	second, err := p.Table(t.Context(), 2)
	close(handler.secondAnswered)
	if err != nil || second.Version != 3 {
		t.Errorf("the second call got version %d, %v", second.Version, err)
	}
	if version := <-first; version != 2 {
		t.Errorf("the first call got version %d", version)
	}
}
