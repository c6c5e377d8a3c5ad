// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// headLength is how much of an input its stage results keep as their beginning,
// as a prompt template would be kept. It is what prefix caches see.
const headLength = 64

// Transform is what a target makes of an input: the words it answers with, one
// a token. The last word of the input is kept as the last one, so that an
// answer shows whose it is; the rest depends on stage and input alone. Targets
// that do not stream keep the input's head and add a word; engines give tokens
// words.
func Transform(stage, input string, tokens int) []string {
	tag := Tag(input)
	h := xxhash.Sum64String(stage + "\x00" + input)
	if tokens == 0 {
		head := input[:min(headLength, len(input)-len(tag))]
		return []string{head, stage + "-" + strconv.FormatUint(h, 16), " " + tag}
	}
	words := make([]string, 0, tokens)
	for i := 1; i < tokens; i++ {
		words = append(words, fmt.Sprintf("w%d-%04x ", i, (h>>(i%48))&0xffff))
	}
	return append(words, tag)
}

// Tag is the last word of an input.
func Tag(input string) string { return input[strings.LastIndexByte(input, ' ')+1:] }

// Output is Transform's words as one output.
func Output(stage, input string, tokens int) string {
	return strings.Join(Transform(stage, input, tokens), "")
}
