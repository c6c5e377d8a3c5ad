// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

var operator = &http.Client{Timeout: 2 * time.Second}

// getJSON reads a document as an operator.
func getJSON(address, path string, v any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := operator.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s: status %d", address, path, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
