// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// add writes one line with the time since the start. Lines that begin with RESULT or BREACH are
// printed as well.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.w.WriteString(line + "\n") // close reports the error
	if strings.HasPrefix(format, "RESULT") || strings.HasPrefix(format, "BREACH") {
		fmt.Println(line)
	}
}

// close writes the file.
func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
