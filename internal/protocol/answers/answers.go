// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package answers judges whether the heads of HTTP answers are valid. The parser of the standard
// library accepts some that are not: any status of three digits, and names of fields that hold
// blanks. It takes "Content-Length : 5" for a field of its own, so that the body of such an answer
// is not the one that its sender meant.
package answers

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// The range of valid statuses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ErrInvalid is wrapped by the errors of this package.
var ErrInvalid = errors.New("no valid answer")

// CheckHead returns an error unless the status and the names of the header fields of an answer are valid.
// It is for final and informational answers.
func CheckHead(status int, h http.Header) error {
	if status < minStatus || status > maxStatus {
		return errors.Wrapf(ErrInvalid, "its status is %03d", status)
	}
	return checkNames(h)
}

// NewBody returns the body of an answer, with an error in place of io.EOF if the names of the trailer fields
// behind it are not valid.
func NewBody(answer *http.Response) io.ReadCloser { return &body{answer.Body, answer} }

// body is the body of an answer.
type body struct {
	io.ReadCloser
	answer *http.Response // its Trailer is complete at the end of the body
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := checkNames(b.answer.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// checkNames returns an error unless the names of the fields that have values are tokens.
func checkNames(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "the name of a field is %.64q", name)
		}
	}
	return nil
}
