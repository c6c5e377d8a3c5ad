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
	"github.com/hookhall/hookhall/internal/transport/backend"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// backends are the implementations that the contract is run against.
var backends = map[string]func() hookhall.Backend{
	"HTTP": func() hookhall.Backend { return backend.New() },
}

func stageCall(input string) hookhall.StageCall {
	return hookhall.StageCall{
		Request: "r1", Stage: "generate", Attempt: 1, Digest: xxhash.Sum64String(input), Input: []byte(input),
		MaxTokens: 8, Deadline: time.Now().Add(10 * time.Second), Key: "a/k", Once: true,
	}
}

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
		{"loses its answer", standin.TargetFaults{Lose: 1}, hookhall.MayHaveRun, hookhall.CauseConnection, true},
		{"cuts its answer short", standin.TargetFaults{Truncate: 1}, hookhall.MayHaveRun, hookhall.CauseTruncated, true},
		{"answers for another", standin.TargetFaults{Misdirect: 1}, hookhall.MayHaveRun, hookhall.CauseMisdirected, true},
		{"changes a byte", standin.TargetFaults{Corrupt: 1}, hookhall.MayHaveRun, hookhall.CauseTruncated, true},
		{"doubles a word", standin.TargetFaults{Duplicate: 1}, hookhall.MayHaveRun, hookhall.CauseTruncated, true},
	}
	ignore := func([]byte) error { return nil }
	for name, make := range backends {
		Convey("A backend, "+name, t, func() {
			engine := standin.NewTarget(standin.TargetSettings{ID: "e", Capacity: 2, Time: time.Millisecond, Token: time.Millisecond})
			s := httptest.NewServer(engine)
			Reset(s.Close)
			target := hookhall.Target{ID: "e", Address: strings.TrimPrefix(s.URL, "http://"), Streams: true}
			b := make()
			Convey("gives the whole answer, chunk by chunk", func() {
				var got []byte
				r, err := b.Call(context.Background(), target, stageCall("some tag"), func(p []byte) error {
					got = append(got, p...)
					return nil
				})
				So(err, ShouldBeNil)
				So(string(r.Output), ShouldEqual, standin.Output("generate", "some tag", 8))
				So(string(got), ShouldEqual, string(r.Output))
				So(r.Tokens, ShouldEqual, 8)
				So(r.Load.Capacity, ShouldEqual, 2)
			})
			for _, x := range faults {
				Convey("with a target that "+x.name, func() {
					engine.SetFaults(x.faults)
					_, err := b.Call(context.Background(), target, stageCall("some tag"), ignore)
					e := hookhall.AsError(err)
					So(e.Verdict, ShouldEqual, x.verdict)
					So(e.Cause, ShouldEqual, x.cause)
					So(e.Leaving, ShouldEqual, x.faults.Leaving)
					So(len(engine.Ledger()) > 0, ShouldEqual, x.ran)
				})
			}
			Convey("knows that nothing ran where nobody listens", func() {
				s.Close()
				_, err := b.Call(context.Background(), target, stageCall("some tag"), ignore)
				So(hookhall.AsError(err).Verdict, ShouldEqual, hookhall.NotRun)
			})
			Convey("does not send an empty or keyed call twice when a kept connection breaks", func() {
				_, err := b.Call(context.Background(), target, stageCall("first"), ignore)
				So(err, ShouldBeNil)
				engine.SetFaults(standin.TargetFaults{Lose: 1})
				for _, input := range []string{"", "second"} {
					_, err = b.Call(context.Background(), target, stageCall(input), ignore)
					So(hookhall.AsError(err).Verdict, ShouldEqual, hookhall.MayHaveRun)
				}
				So(len(engine.Ledger()), ShouldEqual, 3)
			})
			Convey("cancels at the target when the caller goes away", func() {
				long := stageCall("long")
				long.MaxTokens = 100000
				gone := errors.New("gone")
				_, err := b.Call(context.Background(), target, long, func([]byte) error { return gone })
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

func mustLoad(b hookhall.Backend, t hookhall.Target) hookhall.LoadReport {
	r, err := b.Load(context.Background(), t)
	So(err, ShouldBeNil)
	return r
}
