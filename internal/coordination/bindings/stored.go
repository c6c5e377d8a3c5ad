// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package bindings

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/pkg/errors"
)

const (
	// storePrefix begins all keys of begun streams; the service's name follows.
	storePrefix = "hookhall/streams/"
	// baseKey and segmentKey follow the prefix of a service. The name of the process that writes
	// a segment and the segment's number follow segmentKey.
	baseKey    = "base"
	segmentKey = "log/"
	// maxServiceName is the length in bytes from which on a service's name is replaced by its hash.
	maxServiceName = 100
	// firstEra is the last era of a store that was never restored; one without eras is in era 0.
	firstEra = 1
	// readTimeout bounds one reading of a service's keys.
	readTimeout = time.Second
)

// baseRecord is the stored form of a service's base version.
type baseRecord struct {
	Version string `json:"version"`
	// Era is the store's era in which the record was last found to be complete.
	Era uint64 `json:"era"`
}

// segmentRecord is the stored form of bindings that one process has recorded.
type segmentRecord struct {
	// Streams has the keys of streams one behind the other, by version.
	Streams map[string][]byte `json:"streams"`
}

// servicePrefix returns the prefix of the keys of a service.
func servicePrefix(service string) string {
	name := url.PathEscape(service)
	if len(name) > maxServiceName {
		sum := sha256.Sum256([]byte(service))
		name = hex.EncodeToString(sum[:])
	}
	return storePrefix + name + "/"
}

// storedStreams is what the store has about the streams of a service.
type storedStreams struct {
	base baseRecord
	// exists is set if a base version is stored, and hasBase if no restore of the store can have
	// removed records since.
	exists, hasBase bool
	// wasRestored is set if the store has ever been restored from an older copy.
	wasRestored bool
	// created is the store's revision when a base version was first stored, 0 if it does not state it.
	created  hookhall.Revision
	versions map[binding.Key]string
}

// parseStored decodes the keys of a service, as of a revision of the store.
func parseStored(items []hookhall.Item, prefix string, at hookhall.Revision) (storedStreams, error) {
	s := storedStreams{versions: map[binding.Key]string{}, wasRestored: at.Era() > firstEra}
	for _, item := range items {
		name, _ := strings.CutPrefix(item.Key, prefix)
		switch {
		case name == baseKey:
			if err := json.Unmarshal(item.Value, &s.base); err != nil {
				return storedStreams{}, errors.Wrap(err, item.Key)
			}
			s.exists, s.hasBase, s.created = true, s.base.Era == at.Era(), item.Created
		case strings.HasPrefix(name, segmentKey):
			if err := s.addSegment(item.Value); err != nil {
				return storedStreams{}, errors.Wrap(err, item.Key)
			}
		}
	}
	return s, nil
}

// addSegment adds the bindings of a segment.
func (s *storedStreams) addSegment(value []byte) error {
	var segment segmentRecord
	if err := json.Unmarshal(value, &segment); err != nil {
		return err
	}
	for version, keys := range segment.Streams {
		if len(keys)%len(binding.Key{}) != 0 {
			return errors.Errorf("keys of %q have %d bytes", version, len(keys))
		}
		for ; len(keys) > 0; keys = keys[len(binding.Key{}):] {
			s.versions[binding.Key(keys[:len(binding.Key{})])] = version
		}
	}
	return nil
}

// hasOtherThan reports whether a stream is recorded at another version.
func (s *storedStreams) hasOtherThan(version string) bool {
	for _, recorded := range s.versions {
		if recorded != version {
			return true
		}
	}
	return false
}

// storeReader reads the records of services. Callers that ask at the same time share a reading, which
// begins after the last of them has asked.
type storeReader struct {
	mu        sync.Mutex
	byService map[string]*readings
}

// readings are the readings of one service that have not ended.
type readings struct{ running, next *reading }

// reading is one reading of a service's keys. Its result is set before done is closed.
type reading struct {
	done    chan struct{}
	streams storedStreams
	err     error
}

// read returns the store's records of a service as of a moment after the call.
func (r *storeReader) read(ctx context.Context, store hookhall.Store, service string) (storedStreams, error) {
	shared := r.join(store, service)
	select {
	case <-shared.done:
		return shared.streams, shared.err
	case <-ctx.Done():
		return storedStreams{}, ctx.Err()
	}
}

// join returns a reading that has not begun yet, or begins now.
func (r *storeReader) join(store hookhall.Store, service string) *reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byService == nil {
		r.byService = map[string]*readings{}
	}
	q := r.byService[service]
	if q == nil {
		q = &readings{running: &reading{done: make(chan struct{})}}
		r.byService[service] = q
		go r.run(store, service, q)
		return q.running
	}
	if q.next == nil {
		q.next = &reading{done: make(chan struct{})}
	}
	return q.next
}

// run makes the readings of a service until nobody waits for one.
func (r *storeReader) run(store hookhall.Store, service string, q *readings) {
	for {
		q.running.streams, q.running.err = readStored(store, service)
		close(q.running.done)
		r.mu.Lock()
		q.running, q.next = q.next, nil
		if q.running == nil {
			delete(r.byService, service)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
	}
}

// readStored reads the keys of a service.
func readStored(store hookhall.Store, service string) (storedStreams, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	prefix := servicePrefix(service)
	items, at, err := store.Range(ctx, prefix)
	if err != nil {
		return storedStreams{}, err
	}
	return parseStored(items, prefix, at)
}
