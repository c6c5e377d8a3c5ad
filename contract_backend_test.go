// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/transport/backend"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// backends are the implementations that TestBackendContract runs against, by name.
var backends = map[string]func() hookhall.Backend{
	"HTTP": func() hookhall.Backend { return backend.New(buffer.NewBudget(1 << 20)) },
}

// stageCall returns a call with an idempotency key that may run only once.
func stageCall(input string) hookhall.StageCall {
	return hookhall.StageCall{
		Request: "r1", Stage: "generate", Attempt: 1, Digest: xxhash.Sum64String(input), Input: []byte(input),
		MaxTokens: 8, Deadline: time.Now().Add(10 * time.Second), Key: "a/k", AtMostOnce: true,
	}
}

// TestBackendContract guards against a Backend that returns an incomplete, altered or foreign
// answer as a good one, that reports NotRun for a call which its target ran, or that sends a
// call a second time by itself. The stand-in target injects one fault per case; its ledger
// shows whether the call ran.
func TestBackendContract(t *testing.T) {
	faults := []struct {
		name    string
		faults  standin.TargetFaults
		verdict hookhall.Verdict
		cause   hookhall.Cause
		ran     bool
	}{
		{"refuses", standin.TargetFaults{FailBefore: 1}, hookhall.NotRun, hookhall.CauseRefused, false},
		{"is leaving", standin.TargetFaults{Leaving: true}, hookhall.NotRun, hookhall.CauseRefused, false},
		{"fails after running", standin.TargetFaults{FailAfter: 1}, hookhall.MayHaveRun, hookhall.CauseTarget, true},
		{"drops the connection instead of its answer", standin.TargetFaults{LoseAnswer: 1}, hookhall.MayHaveRun, hookhall.CauseConnection, true},
		{"truncates its answer", standin.TargetFaults{Truncate: 1}, hookhall.MayHaveRun, hookhall.CauseTruncated, true},
		{"answers with the identity of another call", standin.TargetFaults{Misdirect: 1}, hookhall.MayHaveRun, hookhall.CauseMisdirected, true},
		{"changes a byte", standin.TargetFaults{Corrupt: 1}, hookhall.MayHaveRun, hookhall.CauseTruncated, true},
		{"sends a chunk twice", standin.TargetFaults{Duplicate: 1}, hookhall.MayHaveRun, hookhall.CauseTruncated, true},
	}
	ignore := func([]byte) error { return nil }
	for name, newBackend := range backends {
		Convey("A backend, "+name, t, func() {
			engine := standin.NewTarget(standin.TargetSettings{ID: "e", Capacity: 2, CallTime: time.Millisecond, TokenTime: time.Millisecond})
			s := httptest.NewServer(engine)
			Reset(s.Close)
			target := hookhall.Target{ID: "e", Address: strings.TrimPrefix(s.URL, "http://"), Streams: true}
			b := newBackend()
			Convey("returns the complete answer and emits its chunks in order", func() {
				var emitted []byte
				r, err := b.Call(context.Background(), target, stageCall("some tag"), func(chunk []byte) error {
					emitted = append(emitted, chunk...)
					return nil
				})
				So(err, ShouldBeNil)
				So(string(r.Output), ShouldEqual, standin.Output("generate", "some tag", 8))
				So(string(emitted), ShouldEqual, string(r.Output))
				So(r.Tokens, ShouldEqual, 8)
				So(r.Load.Capacity, ShouldEqual, 2)
			})
			for _, fault := range faults {
				Convey("with a target that "+fault.name, func() {
					engine.SetFaults(fault.faults)
					_, err := b.Call(context.Background(), target, stageCall("some tag"), ignore)
					e := hookhall.AsError(err)
					So(e.Verdict, ShouldEqual, fault.verdict)
					So(e.Cause, ShouldEqual, fault.cause)
					So(e.Leaving, ShouldEqual, fault.faults.Leaving)
					So(len(engine.Ledger()) > 0, ShouldEqual, fault.ran)
				})
			}
			Convey("reports NotRun when no process listens at the address", func() {
				s.Close()
				_, err := b.Call(context.Background(), target, stageCall("some tag"), ignore)
				So(hookhall.AsError(err).Verdict, ShouldEqual, hookhall.NotRun)
			})
			Convey("does not send an empty or keyed call twice when a reused connection breaks", func() {
				_, err := b.Call(context.Background(), target, stageCall("first"), ignore)
				So(err, ShouldBeNil)
				engine.SetFaults(standin.TargetFaults{LoseAnswer: 1})
				for _, input := range []string{"", "second"} {
					_, err = b.Call(context.Background(), target, stageCall(input), ignore)
					So(hookhall.AsError(err).Verdict, ShouldEqual, hookhall.MayHaveRun)
				}
				So(len(engine.Ledger()), ShouldEqual, 3)
			})
			Convey("cancels the call at the target when emit fails", func() {
				longCall := stageCall("long")
				longCall.MaxTokens = 100000
				errEmit := errors.New("the client has disconnected")
				_, err := b.Call(context.Background(), target, longCall, func([]byte) error { return errEmit })
				So(hookhall.AsError(err).Cause, ShouldEqual, hookhall.CauseCanceled)
				for i := 0; i < 1000 && mustLoad(b, target).Running > 0; i++ {
					time.Sleep(time.Millisecond)
				}
				So(mustLoad(b, target).Running, ShouldEqual, 0)
				So(engine.Ledger()[0].Finished, ShouldBeFalse)
			})
		})
	}
}

// mustLoad reads the load report of a target, which must succeed.
func mustLoad(b hookhall.Backend, t hookhall.Target) hookhall.LoadReport {
	r, err := b.Load(context.Background(), t)
	So(err, ShouldBeNil)
	return r
}
