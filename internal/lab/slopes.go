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

// idleObservationTime is the time over which the cost of an idle fleet is measured.
const idleObservationTime = 6 * time.Second

// resourceSample holds the resources that the process has used up to a moment. Stand-ins
// and all entries share the process, so that the processor time and memory divided by the
// number of entries are upper bounds for one entry.
type resourceSample struct {
	at            time.Time
	cpu           time.Duration // user and system time
	heap          uint64        // bytes in use after a collection
	keyValueStats standin.KeyValueStats
	keyValueBytes int64 // exchanged with the key-value service by all entries
	peerBytes     int64 // exchanged with peers by all entries
	goroutines    int
}

// takeSample collects garbage and returns a sample.
func (l *Lab) takeSample() resourceSample {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // fails only for invalid arguments, and these are constant
	}
	sample := resourceSample{at: time.Now(), heap: memory.HeapAlloc, keyValueStats: l.KeyValue.Stats(), goroutines: runtime.NumGoroutine(),
		cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano())}
	for _, entry := range l.Entries {
		cost := entry.State().Cost
		sample.peerBytes += cost.PeerBytes
		sample.keyValueBytes += cost.ServiceBytes
	}
	return sample
}

// printIdleCost measures the lab without requests for idleObservationTime, from a second
// after the call, and prints a line with the cost per entry.
func (l *Lab) printIdleCost(out io.Writer, label string) {
	time.Sleep(time.Second)
	before := l.takeSample()
	time.Sleep(idleObservationTime)
	after := l.takeSample()
	entries, seconds := float64(len(l.Entries)), after.at.Sub(before.at).Seconds()
	calls := float64(after.keyValueStats.Reads + after.keyValueStats.Watches + after.keyValueStats.Writes - before.keyValueStats.Reads - before.keyValueStats.Watches - before.keyValueStats.Writes)
	fmt.Fprintf(out, "%-28s  cpu %6.3f %% of a core  heap %7.0f KB  peers %7.0f B/s  service %5.2f calls/s  goroutines %5.1f   (each entry)\n",
		label, 100*(after.cpu-before.cpu).Seconds()/seconds/entries, float64(after.heap)/1024/entries, float64(after.peerBytes-before.peerBytes)/seconds/entries, calls/seconds/entries, float64(after.goroutines)/entries)
}

// useDefaultTiming gives an entry the product's interval of list reads instead of the lab's
// shorter one.
func useDefaultTiming(_ int, s *settings.Entry) {
	s.Fleet.ListMS = settings.DefaultEntry().Fleet.ListMS
}

// MeasureCostGrowth measures and prints how costs grow with the number of entries,
// targets, accounts and requests.
func MeasureCostGrowth(ctx context.Context, out io.Writer) error {
	for _, measure := range []func(context.Context, io.Writer) error{measureEntries, measureTargets, measureAccounts, measureRequests} {
		if err := measure(ctx, out); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	return nil
}

// withLab runs measure on a lab, and stops it.
func withLab(s Settings, measure func(*Lab) error) error {
	lab, err := Start(s)
	if err != nil {
		return err
	}
	defer lab.Stop()
	return measure(lab)
}

// measureEntries prints the idle cost by number of entries, and the cost of a join of one
// more.
func measureEntries(_ context.Context, out io.Writer) error {
	fmt.Fprintln(out, "entries, idle, 6 targets, no accounts; then one joins")
	for _, n := range []int{3, 9, 20, 40} {
		if err := withLab(Settings{EntryCount: n, AdjustEntry: useDefaultTiming, Pools: []PoolSettings{{"p", 6, standin.TargetSettings{Capacity: 8}}}}, func(lab *Lab) error {
			lab.printIdleCost(out, fmt.Sprintf("  %d entries", n))
			before, began := lab.takeSample(), time.Now()
			if err := lab.startEntry(n); err != nil {
				return err
			}
			if err := lab.AwaitReady(); err != nil {
				return err
			}
			took := time.Since(began)
			after := lab.takeSample()
			fmt.Fprintf(out, "    a join: %v until all are ready; service %d reads, %d watches, %d writes, %d bytes; peers %d bytes; cpu %v in all\n",
				took.Round(time.Millisecond), after.keyValueStats.Reads-before.keyValueStats.Reads, after.keyValueStats.Watches-before.keyValueStats.Watches, after.keyValueStats.Writes-before.keyValueStats.Writes,
				after.keyValueBytes-before.keyValueBytes, after.peerBytes-before.peerBytes, (after.cpu - before.cpu).Round(time.Millisecond))
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// measureTargets prints the idle cost by number of targets.
func measureTargets(_ context.Context, out io.Writer) error {
	fmt.Fprintln(out, "targets in one pool, 3 entries, idle")
	for _, n := range []int{20, 100, 620} {
		if err := withLab(Settings{EntryCount: 3, AdjustEntry: useDefaultTiming, Pools: []PoolSettings{{"p", n, standin.TargetSettings{Capacity: 8}}}}, func(lab *Lab) error {
			lab.printIdleCost(out, fmt.Sprintf("  %d targets", n))
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// measureAccounts prints the cost of accounts in the table and of edits of one cell.
func measureAccounts(_ context.Context, out io.Writer) error {
	fmt.Fprintln(out, "accounts in the table, 9 entries")
	for _, n := range []int{100, 1000, 8200} {
		if err := withLab(Settings{EntryCount: 9, AdjustEntry: useDefaultTiming}, func(lab *Lab) error {
			before := lab.takeSample()
			var edits []hookhall.Edit
			for i := 0; i < n; i++ {
				row := fmt.Sprintf("account-%05d", i)
				for column, value := range map[string]string{"key_sha256": fmt.Sprintf("%064x", i+1), "priority": "5", "rate": "10"} {
					edits = append(edits, hookhall.Edit{Sheet: hookhall.SheetAccounts, Row: row, Column: column, Value: value, Force: true})
				}
			}
			if _, err := lab.Edit("many", edits); err != nil {
				return err
			}
			if err := lab.awaitVersion(1); err != nil {
				return err
			}
			after := lab.takeSample()
			worst, sum, err := lab.timeCellEdits()
			if err != nil {
				return err
			}
			edited := lab.takeSample()
			fmt.Fprintf(out, "  %5d accounts  heap %+.0f KB an entry; one cell: in force everywhere after %v (worst of %d, mean %v), %.0f B read from the service an entry, %.1f calls an entry\n",
				n, float64(int64(after.heap)-int64(before.heap))/1024/9, worst.Round(time.Millisecond), timedEditCount, (sum / timedEditCount).Round(time.Millisecond),
				float64(edited.keyValueBytes-after.keyValueBytes)/9/timedEditCount,
				float64(edited.keyValueStats.Reads+edited.keyValueStats.Watches-after.keyValueStats.Reads-after.keyValueStats.Watches)/9/timedEditCount)
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// timedEditCount is the number of edits of one cell that are timed.
const timedEditCount = 10

// timeCellEdits makes timedEditCount edits of one cell, one after another. It returns the
// longest time until an edit was in force at all entries, and the sum of these times.
func (l *Lab) timeCellEdits() (worst, sum time.Duration, err error) {
	for i := range timedEditCount {
		began := time.Now()
		outcome, err := l.Edit(fmt.Sprintf("cell-%d", i), []hookhall.Edit{{
			Sheet: hookhall.SheetAccounts, Row: "account-00000", Column: "rate", Value: fmt.Sprint(i + 20), Force: true}})
		if err != nil {
			return 0, 0, err
		}
		if err := l.awaitVersion(outcome.Version); err != nil {
			return 0, 0, err
		}
		took := time.Since(began)
		worst, sum = max(worst, took), sum+took
	}
	return worst, sum, nil
}

// awaitVersion waits until all entries have this version of the table, or a later one, in
// force. It fails after readyTimeout.
func (l *Lab) awaitVersion(version uint64) error {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(time.Millisecond) {
		inForce := true
		for _, entry := range l.Entries {
			inForce = inForce && entry.TableVersion() >= version
		}
		if inForce {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("version %d is not in force at all entries after %v", version, readyTimeout)
		}
	}
}

// measureRequests prints the cost of a request alone, with a claim, and with a rate limit.
func measureRequests(ctx context.Context, out io.Writer) error {
	const requests = 3000
	fmt.Fprintf(out, "coordination cost per request: %d requests to a plain service, 9 entries, one after another on 8 threads\n", requests)
	variants := []struct {
		name       string
		repeatable bool
		limit      string
	}{{"plain", true, ""}, {"claimed", false, ""}, {"limited, rate 100000/s", true, "100000"}, {"limited, rate 2000/s", true, "2000"}}
	for _, variant := range variants {
		profile := load.Venue()
		fleet := Settings{EntryCount: 9, Profile: profile, AdjustEntry: useDefaultTiming, Pools: []PoolSettings{
			{"replays", 3, standin.TargetSettings{Capacity: 64, CallTime: time.Millisecond}},
			{"encoders", 1, standin.TargetSettings{Capacity: 8}}, {"retrievers", 1, standin.TargetSettings{Capacity: 8}},
			{"rerankers", 1, standin.TargetSettings{Capacity: 8}}, {"engines", 1, standin.TargetSettings{Capacity: 8}}}}
		if variant.limit != "" {
			fleet.ExtraEdits = []hookhall.Edit{{Sheet: hookhall.SheetAccounts, Row: "venues", Column: "rate", Value: variant.limit, Force: true}}
		}
		if err := withLab(fleet, func(lab *Lab) error {
			before := lab.takeSample()
			answered := lab.runClosedLoop(ctx, requests, variant.repeatable)
			after := lab.takeSample()
			elapsed := float64(after.at.Sub(before.at).Seconds())
			fmt.Fprintf(out, "  %-24s answered %d in %.1f s; peers %.0f B a request, cpu %.0f us a request in all, heap %+.0f B a request\n",
				variant.name, answered, elapsed, float64(after.peerBytes-before.peerBytes)/requests, (after.cpu-before.cpu).Seconds()*1e6/requests,
				float64(int64(after.heap)-int64(before.heap))/requests)
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// runClosedLoop sends n requests on a fixed number of threads, each of which waits for an
// answer before its next request, and returns the number answered.
func (l *Lab) runClosedLoop(ctx context.Context, n int, repeatable bool) int {
	const threads = 8
	kind := load.Kind{Name: "replay", Account: "venues", Pipeline: "replay", DeadlineMS: 1000, Repeatable: repeatable}
	client := load.NewClient()
	defer client.Close()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	addresses := l.CallerAddresses()
	for thread := range threads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := thread; i < n; i += threads {
				tag, key := fmt.Sprintf("slope-%d", i), ""
				if !repeatable {
					key = tag
				}
				if outcome := client.Send(ctx, addresses[i%len(addresses)], load.Account{Name: kind.Account}.Key(), kind, tag, key); outcome.Answered {
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

// PrintDocumentSizes prints the sizes in bytes of the stored parts of a table of 8200
// accounts. It starts no fleet.
func PrintDocumentSizes(out io.Writer) error {
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
