// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"

	"github.com/hookhall/hookhall"
)

// answerUse says what becomes of the answer of a target.
type answerUse string

const (
	// usePass passes the answer on unchanged.
	usePass answerUse = "pass"
	// useRefusal means that the target has not run the request.
	useRefusal answerUse = "refusal"
	// useUnsigned means that the answer is not known to be the target's, which may have run the
	// request.
	useUnsigned answerUse = "unsigned"
	// usePromise means that the target may have run the request, while its status would promise the
	// client that it has not run.
	usePromise answerUse = "promise"
)

// useOf decides about the answer of a target by its head alone.
func useOf(status int, info hookhall.ReplyInfo, repeatable bool) answerUse {
	switch {
	case info.NotRun:
		return useRefusal
	case !info.Sealed:
		return useUnsigned
	case !repeatable && isPromise(status):
		return usePromise
	}
	return usePass
}

// isPromise reports whether clients take a status for a promise that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkHead records an answer that can't be passed on, and returns the error for it.
func (r *request) checkHead(a *attempt) *hookhall.Error {
	detail := ""
	switch useOf(a.reply.Status, a.reply.Info, r.route.Repeatable()) {
	case useUnsigned:
		detail = "the answer of status %d bears no signature"
	case usePromise:
		detail = "the answer of status %d does not say that the request has not run"
	default:
		return nil
	}
	a.recordFailure(false)
	return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, detail, a.reply.Status)
}
