// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/coordination/bindings"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// oneTable holds the bindings of a process that lists no targets.
type oneTable struct{ *binding.Table }

// Merge implements Bindings.
func (t oneTable) Merge(list []binding.Binding) {
	for _, b := range list {
		t.Put(b, clock.Now())
	}
}

// Known implements Bindings.
func (t oneTable) Known(q bindings.Query) bindings.Known {
	b, ok := t.Get(q.Key, clock.Now())
	return bindings.Known{Binding: b, IsBound: ok, Versions: []string{"v1", "v9"}, Reach: q.Window / 2}
}

// TestBindingMessages guards against bindings that change on their way to another process, or are kept
// there for longer than a client can come back.
func TestBindingMessages(t *testing.T) {
	table := oneTable{&binding.Table{}}
	client, _ := startRelay(t, &Server{Bindings: table})
	key := binding.KeyOf("account", "call")
	sent := binding.Binding{Key: key, Service: "llm", Version: "v1.2", ExpiresAt: clock.Now().Add(time.Hour)}
	if err := client.Bind(t.Context(), []binding.Binding{sent}); err != nil {
		t.Fatal(err)
	}
	t.Run("known", func(t *testing.T) {
		got, err := client.FindBinding(t.Context(), bindings.Query{Key: key, Service: "llm", Window: time.Minute})
		if err != nil || !got.IsBound || got.Binding.Key != key || got.Binding.Service != "llm" || got.Binding.Version != "v1.2" || !slices.Equal(got.Versions, []string{"v1", "v9"}) || got.Reach != 30*time.Second {
			t.Errorf("%+v, %v", got, err)
		}
		if ttl := clock.Until(got.Binding.ExpiresAt); ttl > maxBindingTTL {
			t.Errorf("kept for %v", ttl)
		}
	})
	t.Run("unknown", func(t *testing.T) {
		got, err := client.FindBinding(t.Context(), bindings.Query{Key: binding.KeyOf("other", "call"), Window: time.Second})
		if err != nil || got.IsBound {
			t.Errorf("%+v, %v", got, err)
		}
	})
	t.Run("keys of a wrong length", func(t *testing.T) {
		if _, err := client.rpc().Bind(t.Context(), &pb.BindRequest{Bindings: []*pb.StreamBinding{{Key: []byte("x"), RemainingMs: 1000}}}); err != nil {
			t.Fatal(err)
		}
		answer, err := client.rpc().FindBinding(t.Context(), &pb.BindingQuery{Key: []byte("x")})
		if err != nil || answer.GetBinding() != nil || table.Len() != 1 {
			t.Errorf("%v, %v, %d bindings", answer, err, table.Len())
		}
	})
	t.Run("an expired one", func(t *testing.T) {
		if _, err := client.rpc().Bind(t.Context(), &pb.BindRequest{Bindings: []*pb.StreamBinding{{Key: make([]byte, 16), RemainingMs: -1}}}); err != nil || table.Len() != 1 {
			t.Errorf("%v, %d bindings", err, table.Len())
		}
	})
}

// BenchmarkBind measures the copy of one binding to another process, both sides together.
func BenchmarkBind(b *testing.B) {
	client, _ := startRelay(b, &Server{Bindings: oneTable{&binding.Table{}}})
	bound := binding.Binding{Key: binding.KeyOf("account", "call"), Service: "llm", Version: "v1.2", ExpiresAt: clock.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Bind(b.Context(), []binding.Binding{bound}); err != nil {
			b.Fatal(err)
		}
	}
}
