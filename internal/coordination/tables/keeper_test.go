// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// memory is a key-value service in memory, with failing answers to inject.
type memory struct {
	entry hookhall.Entry
	fail  int // calls that fail first
}

func (m *memory) Get(context.Context, string) (hookhall.Entry, error) {
	if m.fail > 0 {
		m.fail--
		return hookhall.Entry{}, errors.Wrap(hookhall.ErrUnavailable, "injected")
	}
	return m.entry, nil
}

func (m *memory) CompareAndSwap(context.Context, string, []byte, uint64) (bool, error) {
	return false, hookhall.ErrUnavailable
}

func (m *memory) Delete(context.Context, string) error { return hookhall.ErrUnavailable }

func (m *memory) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (hookhall.Entry, error) {
	select {
	case <-ctx.Done():
		return hookhall.Entry{}, ctx.Err()
	case <-time.After(wait):
		return m.entry, nil
	}
}

// TestKeeperEmptyTable: a fleet whose table is still empty is ready at once;
// it used to wait for a first change, as the slopes of an empty fleet showed.
func TestKeeperEmptyTable(t *testing.T) {
	for _, fail := range []int{0, 3} {
		synctest.Test(t, func(t *testing.T) {
			k := NewKeeper(&memory{fail: fail}, log.New(io.Discard))
			go k.Run(t.Context())
			began := time.Now()
			for !k.Ready() {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(began); took > 5*time.Second {
				t.Fatalf("ready after %v with %d failures", took, fail)
			}
		})
	}
}
