// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/hookhall/hookhall/internal/load"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/state/table"
)

// slopeTime is how long a quiet fleet is watched.
const slopeTime = 6 * time.Second

// sample is what a process has used up to a moment. Stand-ins and all entries
// share the process, so processor time and memory of an entry are upper bounds.
type sample struct {
	at       time.Time
	cpu      time.Duration
	heap     uint64
	kv       standin.KeyValueStats
	kvBytes  int64
	peer     int64
	routines int
}

func (l *Lab) sample() sample {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the arguments are constants
	}
	s := sample{at: time.Now(), heap: m.HeapAlloc, kv: l.KeyValue.Stats(), routines: runtime.NumGoroutine(),
		cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano())}
	for _, e := range l.Entries {
		c := e.State().Cost
		s.peer += c.PeerBytes
		s.kvBytes += c.ServiceBytes
	}
	return s
}

// quiet watches a lab that does nothing for a while and prints a line of what
// an entry costs.
func (l *Lab) quiet(out io.Writer, label string) {
	time.Sleep(time.Second)
	a := l.sample()
	time.Sleep(slopeTime)
	b := l.sample()
	n, t := float64(len(l.Entries)), b.at.Sub(a.at).Seconds()
	calls := float64(b.kv.Reads + b.kv.Watches + b.kv.Writes - a.kv.Reads - a.kv.Watches - a.kv.Writes)
	fmt.Fprintf(out, "%-28s  cpu %6.3f %% of a core  heap %7.0f KB  peers %7.0f B/s  service %5.2f calls/s  goroutines %5.1f   (each entry)\n",
		label, 100*(b.cpu-a.cpu).Seconds()/t/n, float64(b.heap)/1024/n, float64(b.peer-a.peer)/t/n, calls/t/n, float64(b.routines)/n)
}

// defaultTiming gives entries the product's pace instead of the lab's.
func defaultTiming(_ int, s *settings.Entry) {
	s.Fleet.ListMS = settings.DefaultEntry().Fleet.ListMS
}

// Slopes measures what grows with entries, targets, accounts and requests.
func Slopes(ctx context.Context, out io.Writer) error {
	for _, f := range []func(context.Context, io.Writer) error{slopeEntries, slopeTargets, slopeAccounts, slopeRequests} {
		if err := f(ctx, out); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	return nil
}

func slopeEntries(_ context.Context, out io.Writer) error {
	fmt.Fprintln(out, "entries, quiet, 6 targets, no accounts; then one joins")
	for _, n := range []int{3, 9, 20, 40} {
		l, err := Start(Settings{Entries: n, Adjust: defaultTiming, Pools: []PoolSettings{{"p", 6, standin.TargetSettings{Capacity: 8}}}})
		if err != nil {
			return err
		}
		l.quiet(out, fmt.Sprintf("  %d entries", n))
		a, began := l.sample(), time.Now()
		if err := l.startEntry(n); err != nil {
			return err
		}
		if err := l.AwaitReady(); err != nil {
			return err
		}
		took := time.Since(began)
		b := l.sample()
		fmt.Fprintf(out, "    a join: %v until all are whole; service %d reads, %d watches, %d writes, %d bytes; peers %d bytes; cpu %v in all\n",
			took.Round(time.Millisecond), b.kv.Reads-a.kv.Reads, b.kv.Watches-a.kv.Watches, b.kv.Writes-a.kv.Writes,
			b.kvBytes-a.kvBytes, b.peer-a.peer, (b.cpu - a.cpu).Round(time.Millisecond))
		l.Stop()
	}
	return nil
}

func slopeTargets(_ context.Context, out io.Writer) error {
	fmt.Fprintln(out, "targets in one pool, 3 entries, quiet")
	for _, n := range []int{20, 100, 620} {
		l, err := Start(Settings{Entries: 3, Adjust: defaultTiming, Pools: []PoolSettings{{"p", n, standin.TargetSettings{Capacity: 8}}}})
		if err != nil {
			return err
		}
		l.quiet(out, fmt.Sprintf("  %d targets", n))
		l.Stop()
	}
	return nil
}

func slopeAccounts(_ context.Context, out io.Writer) error {
	fmt.Fprintln(out, "accounts in the table, 9 entries")
	for _, n := range []int{100, 1000, 8200} {
		l, err := Start(Settings{Entries: 9, Adjust: defaultTiming})
		if err != nil {
			return err
		}
		before := l.sample()
		var edits []hookhall.Edit
		for i := 0; i < n; i++ {
			row := fmt.Sprintf("account-%05d", i)
			for column, value := range map[string]string{"key_sha256": fmt.Sprintf("%064x", i+1), "priority": "5", "rate": "10"} {
				edits = append(edits, hookhall.Edit{Sheet: hookhall.SheetAccounts, Row: row, Column: column, Value: value, Force: true})
			}
		}
		if _, err := l.Edit("many", edits); err != nil {
			return err
		}
		if err := l.awaitVersion(1); err != nil {
			return err
		}
		after := l.sample()
		worst, sum, err := l.oneCell()
		if err != nil {
			return err
		}
		edited := l.sample()
		fmt.Fprintf(out, "  %5d accounts  heap %+.0f KB an entry; one cell: in force everywhere after %v (worst of %d, mean %v), %.0f B read from the service an entry, %.1f calls an entry\n",
			n, float64(after.heap-before.heap)/1024/9, worst.Round(time.Millisecond), cellEdits, (sum / cellEdits).Round(time.Millisecond),
			float64(edited.kvBytes-after.kvBytes)/9/cellEdits,
			float64(edited.kv.Reads+edited.kv.Watches-after.kv.Reads-after.kv.Watches)/9/cellEdits)
		l.Stop()
	}
	return nil
}

// cellEdits is how many edits of one cell are timed.
const cellEdits = 10

// oneCell times edits of a cell until all entries have them in force.
func (l *Lab) oneCell() (worst, sum time.Duration, err error) {
	for i := range cellEdits {
		began := time.Now()
		out, err := l.Edit(fmt.Sprintf("cell-%d", i), []hookhall.Edit{{
			Sheet: hookhall.SheetAccounts, Row: "account-00000", Column: "rate", Value: fmt.Sprint(i + 20), Force: true}})
		if err != nil {
			return 0, 0, err
		}
		if err := l.awaitVersion(out.Version); err != nil {
			return 0, 0, err
		}
		took := time.Since(began)
		worst, sum = max(worst, took), sum+took
	}
	return worst, sum, nil
}

func (l *Lab) awaitVersion(version uint64) error {
	for limit := time.Now().Add(upTime); ; time.Sleep(time.Millisecond) {
		all := true
		for _, e := range l.Entries {
			all = all && e.TableVersion() >= version
		}
		if all {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("version %d is not in force everywhere after %v", version, upTime)
		}
	}
}

// slopeRequests measures what claims and limits add to a request.
func slopeRequests(ctx context.Context, out io.Writer) error {
	const requests = 3000
	fmt.Fprintf(out, "control of a request: %d requests to a plain service, 9 entries, one after another on 8 threads\n", requests)
	variants := []struct {
		name       string
		repeatable bool
		limit      string
	}{{"plain", true, ""}, {"claimed", false, ""}, {"limited, rate 100000/s", true, "100000"}, {"limited, rate 2000/s", true, "2000"}}
	for _, v := range variants {
		p := load.Venue()
		s := Settings{Entries: 9, Profile: p, Adjust: defaultTiming, Pools: []PoolSettings{
			{"replays", 3, standin.TargetSettings{Capacity: 64, Time: time.Millisecond}},
			{"encoders", 1, standin.TargetSettings{Capacity: 8}}, {"retrievers", 1, standin.TargetSettings{Capacity: 8}},
			{"rerankers", 1, standin.TargetSettings{Capacity: 8}}, {"engines", 1, standin.TargetSettings{Capacity: 8}}}}
		if v.limit != "" {
			s.Extra = []hookhall.Edit{{Sheet: hookhall.SheetAccounts, Row: "venues", Column: "rate", Value: v.limit, Force: true}}
		}
		l, err := Start(s)
		if err != nil {
			return err
		}
		a := l.sample()
		answered := l.closedLoop(ctx, requests, v.repeatable)
		b := l.sample()
		quiet := float64(b.at.Sub(a.at).Seconds())
		fmt.Fprintf(out, "  %-24s answered %d in %.1f s; peers %.0f B a request, cpu %.0f us a request in all, heap %+.0f B a request\n",
			v.name, answered, quiet, float64(b.peer-a.peer)/requests, (b.cpu-a.cpu).Seconds()*1e6/requests,
			float64(int64(b.heap)-int64(a.heap))/requests)
		l.Stop()
	}
	return nil
}

func (l *Lab) closedLoop(ctx context.Context, n int, repeatable bool) int {
	const threads = 8
	k := load.Kind{Name: "replay", Account: "venues", Pipeline: "replay", DeadlineMS: 1000, Repeatable: repeatable}
	client := load.NewClient()
	defer client.Close()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	at := l.Addresses()
	for w := range threads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := w; i < n; i += threads {
				tag, key := fmt.Sprintf("slope-%d", i), ""
				if !repeatable {
					key = tag
				}
				if o := client.Send(ctx, at[i%len(at)], load.Account{Name: k.Account}.Key(), k, tag, key); o.Answered {
					mu.Lock()
					answered++
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	return answered
}

// Sizes prints the bytes of stored documents, which need no fleet.
func Sizes(out io.Writer) error {
	doc := table.Empty()
	var edits []hookhall.Edit
	for i := range 8200 {
		edits = append(edits, hookhall.Edit{Sheet: hookhall.SheetAccounts, Row: fmt.Sprintf("account-%05d", i), Column: "key_sha256", Value: fmt.Sprintf("%064x", i+1), Force: true})
	}
	doc, err := doc.Apply("sizes", edits)
	if err != nil {
		return err
	}
	largest := 0
	for i := range table.ChunkCount {
		largest = max(largest, len(doc.Chunk(i)))
	}
	fmt.Fprintf(out, "table of 8200 accounts with a key each: root %d B, largest chunk %d B\n", len(doc.EncodeRoot()), largest)
	return nil
}
