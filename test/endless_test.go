// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/wire"
)

// peakMemoryMB returns the peak resident memory of an entry, in MB.
func (p *process) peakMemoryMB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	p.cluster.must(err)
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	p.cluster.must(err)
	return kb >> 10
}

// endlessBodies are the beginnings of answers, and the block that is sent again and again after them.
var endlessBodies = map[string]struct{ begin, block string }{
	"one line":   {`{"text":"`, strings.Repeat("x", 4096)},
	"many lines": {"", `{"text":"` + strings.Repeat("x", 1000) + "\"}\n"},
	"empty":      {"", strings.Repeat("{}\n", 1000)},
	"no JSON":    {"", strings.Repeat(" ", 4096)},
}

// serveEndless answers each call with its identity and then with bytes without end.
func serveEndless(begin, block string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		wire.EchoHeaders(w.Header(), r.Header)
		_, err := w.Write([]byte(begin))
		for err == nil {
			_, err = w.Write([]byte(block))
		}
	}
}

// TestAnswersWithoutEnd guards against targets whose answers have no end: an entry held what it had read of all
// of them, and ran out of memory. Requests that need none of these targets are served meanwhile.
func TestAnswersWithoutEnd(t *testing.T) {
	const callers, endless, memoryMB, duration = 100, 16, 256, 6 * time.Second
	for name, body := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{entries: 1, targetsPerPool: 1})
			for i := range endless {
				id := fmt.Sprintf("encoders-%d", i) // the first one replaces the sound target
				c.listTarget(id, "encoders", c.listen(fmt.Sprint("endless-", i), serveEndless(body.begin, body.block)), false, hookhall.InstanceLive)
			}
			slow := c.kind("explain")
			slow.DeadlineMS = 3000
			sound := c.kind("replay")
			sound.DeadlineMS = 3000
			var served, refused atomic.Int64
			var senders sync.WaitGroup
			until := time.Now().Add(duration)
			for n := range callers {
				senders.Go(func() {
					for round := 0; time.Now().Before(until); round++ {
						tag := fmt.Sprintf("tag-%d-%d", n, round)
						if n%10 > 0 {
							c.send(0, slow, tag, "")
							continue
						}
						if c.send(0, sound, tag, "").Answered {
							served.Add(1)
						} else {
							refused.Add(1)
						}
					}
				})
			}
			senders.Wait()
			if !c.entries[0].running() {
				t.Fatal("the entry has ended")
			}
			peak := c.entries[0].peakMemoryMB()
			t.Logf("peak %d MB; of sound requests %d served, %d not", peak, served.Load(), refused.Load())
			if peak > memoryMB {
				t.Errorf("the entry used %d MB, and may use %d", peak, memoryMB)
			}
			if served.Load() == 0 {
				t.Error("no sound request was served")
			}
		})
	}
}
