// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// operatorClient sends the tests' plain HTTP calls to entries, each limited to 2 s.
var operatorClient = &http.Client{Timeout: 2 * time.Second}

// getJSON fetches a JSON document with the operator token and decodes it into v.
func getJSON(address, path string, v any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := operatorClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s: status %d", address, path, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
