// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package paths

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/reach"
	"github.com/pkg/errors"
)

const target = "10.0.0.1:80"

// world is a fleet of which this process is the first member, with targets that are reached as the
// test says.
type world struct {
	*Paths
	t *testing.T

	mu sync.Mutex
	// direct is how direct connections end, and relays how those through each peer do: with a
	// connection if the error is nil.
	direct  outcome
	relays  map[string]outcome
	healthy []string // further targets, which connect directly
	cutOff  []string // further targets, which end as direct does
	directs int      // direct attempts
	asked   []string // peers
	open    int      // connections
}

// outcome is the end of an attempt to connect.
type outcome struct {
	after time.Duration
	err   error
}

// The outcomes of attempts.
var (
	connects  = outcome{}
	refused   = outcome{err: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}}
	timedOut  = outcome{after: 250 * time.Millisecond, err: os.ErrDeadlineExceeded}
	cutOff    = outcome{err: &hookhall.RelayError{Failure: hookhall.RelayCutOff}}
	busy      = outcome{err: &hookhall.RelayError{Failure: hookhall.RelayOverloaded}}
	refusedTo = outcome{err: &hookhall.RelayError{Failure: hookhall.RelayRefused}}
	earlier   = outcome{err: &hookhall.RelayError{Failure: hookhall.RelayUnsupported}}
)

func newWorld(t *testing.T, direct outcome, relays ...outcome) *world {
	w := &world{t: t, direct: direct, relays: map[string]outcome{}}
	for i, o := range relays {
		w.relays[fmt.Sprint("peer-", i)] = o
	}
	w.Paths = &Paths{
		Table: &reach.Table{}, Breaks: &reach.Breaks{}, Relays: &reach.Relays{}, Fleet: w, Targets: w,
		Remote: func(address string) hookhall.Relay { return &remote{w, address} },
		Probe: func(ctx context.Context, address string) error {
			c, err := w.dial(ctx, address)
			if err == nil {
				_ = c.Close()
			}
			return err
		},
		CloseIdle: func(string) {}, Meter: noMeter{}, Log: log.New(io.Discard),
	}
	return w
}

func (w *world) Self() hookhall.Member { return hookhall.Member{Address: "self"} }

func (w *world) All() []hookhall.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []hookhall.Member{w.Self()}
	for address := range w.relays {
		list = append(list, hookhall.Member{Address: address})
	}
	return list
}

func (w *world) Suspected(string, time.Time) bool { return false }

func (w *world) TargetAt(address string) (hookhall.Target, bool) {
	return hookhall.Target{ID: "target at " + address, Address: address}, true
}

// SampleTarget returns the first further target, of those that are cut off first.
func (w *world) SampleTarget(skip map[string]bool) (hookhall.Target, bool) {
	for _, address := range append(slices.Clone(w.cutOff), w.healthy...) {
		if !skip[address] {
			return hookhall.Target{ID: "target at " + address, Address: address}, true
		}
	}
	return hookhall.Target{}, false
}

// end ends an attempt with its outcome.
func (w *world) end(ctx context.Context, o outcome) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(o.after):
	}
	if o.err != nil {
		return nil, o.err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open++
	c, _ := net.Pipe()
	return &openConn{Conn: c, w: w}, nil
}

// dial makes a direct attempt.
func (w *world) dial(ctx context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	w.directs++
	o := w.direct
	if slices.Contains(w.healthy, address) {
		o = connects
	}
	w.mu.Unlock()
	return w.end(ctx, o)
}

// connect connects to a target as a request does.
func (w *world) connect(address string) (net.Conn, error) {
	return w.Connect(w.t.Context(), address, 0, func(ctx context.Context) (net.Conn, error) { return w.dial(ctx, address) })
}

// isRelayed reports whether a connection passes through a peer.
func isRelayed(c net.Conn) bool {
	_, ok := c.(*relayedConn)
	return ok
}

// openConn is a connection that counts as open until it is closed.
type openConn struct {
	net.Conn
	w *world
}

func (c *openConn) Close() error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.open--
	return c.Conn.Close()
}

// remote is a peer.
type remote struct {
	w       *world
	address string
}

func (r *remote) Relay(ctx context.Context, _ hookhall.RelayRequest) (net.Conn, error) {
	r.w.mu.Lock()
	r.w.asked = append(r.w.asked, r.address)
	o := r.w.relays[r.address]
	r.w.mu.Unlock()
	return r.w.end(ctx, o)
}

type noMeter struct{}

func (noMeter) ConnectionFailed(string) {}
func (noMeter) TargetsUnreachable(int)  {}
func (noMeter) Isolated(bool)           {}
func (noMeter) RelayAsked(string)       {}
func (noMeter) Relayed(string)          {}

// TestConnect checks by which path a first connection is opened, how soon, and how many peers it takes.
func TestConnect(t *testing.T) {
	for name, c := range map[string]struct {
		direct  outcome
		relays  []outcome
		relayed bool
		err     error // nil for a connection
		within  time.Duration
		asked   int // at most
	}{
		"direct":                               {direct: connects, relays: []outcome{connects}},
		"slow":                                 {direct: outcome{after: 90 * time.Millisecond}, relays: []outcome{connects}, within: 90 * time.Millisecond},
		"refused here only":                    {direct: refused, relays: []outcome{connects}, relayed: true, asked: 1},
		"no answer here only":                  {direct: timedOut, relays: []outcome{connects}, relayed: true, within: hedgeDelay, asked: 1},
		"refused to all":                       {direct: refused, relays: []outcome{refusedTo, refusedTo, refusedTo}, err: syscall.ECONNREFUSED, asked: confirmations},
		"no answer to anybody":                 {direct: timedOut, relays: []outcome{{120 * time.Millisecond, &hookhall.RelayError{Failure: hookhall.RelayTimedOut}}}, err: os.ErrDeadlineExceeded, within: 250 * time.Millisecond, asked: 1},
		"refused, and the first peers are cut": {direct: refused, relays: []outcome{cutOff, cutOff, cutOff, connects}, relayed: true, asked: 4},
		"refused, and peers are overloaded":    {direct: refused, relays: []outcome{busy, busy}, err: syscall.ECONNREFUSED, asked: 2},
		"refused, with no peer":                {direct: refused, err: syscall.ECONNREFUSED},
		"refused, and peers don't answer":      {direct: refused, relays: []outcome{{time.Hour, nil}}, err: syscall.ECONNREFUSED, within: relayTimeout, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, c.direct, c.relays...)
				start := time.Now()
				conn, err := w.connect(target)
				if !errors.Is(err, c.err) || (err == nil) != (conn != nil) {
					t.Fatalf("error %v, want %v", err, c.err)
				}
				if elapsed := time.Since(start); elapsed > c.within {
					t.Errorf("took %v, want %v", elapsed, c.within)
				}
				if len(w.asked) > c.asked {
					t.Errorf("asked %v", w.asked)
				}
				if conn != nil {
					if isRelayed(conn) != c.relayed {
						t.Errorf("relayed: %v", isRelayed(conn))
					}
					_ = conn.Close()
				}
				w.checkAllClosed()
				w.stopProbes()
			})
		})
	}
}

// stopProbes lets direct attempts succeed, so that the probes end.
func (w *world) stopProbes() {
	w.set(connects)
	time.Sleep(time.Minute)
	if w.Table.NeedsProbes() || w.isProbing.Load() {
		w.t.Error("probes go on")
	}
}

// checkAllClosed fails the test if connections are open after a second.
func (w *world) checkAllClosed() {
	w.t.Helper()
	time.Sleep(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open != 0 {
		w.t.Errorf("%d connections are open", w.open)
	}
}

// set sets the outcome of direct attempts.
func (w *world) set(direct outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.direct = direct
}

// takeDirects returns how many direct attempts there were since the last call.
func (w *world) takeDirects() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.directs
	w.directs = 0
	return n
}

// TestDownTargetCostsNoRelays guards against peers that are asked for each connection to a target
// that is down.
func TestDownTargetCostsNoRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, refused, refusedTo, refusedTo)
		for range 100 {
			if _, err := w.connect(target); err == nil {
				t.Fatal("connected")
			}
		}
		if len(w.asked) > confirmations {
			t.Errorf("asked %d times", len(w.asked))
		}
	})
}

// TestIsolatedProcess checks that an isolated process uses relays at once, refuses at once if there
// is none, probes little, and connects directly soon after its links return.
func TestIsolatedProcess(t *testing.T) {
	for name, direct := range map[string]outcome{"refused": refused, "hanging": timedOut} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, direct, connects, cutOff, connects)
				var changes []bool
				w.OnIsolated = func(isolated bool) { changes = append(changes, isolated) }
				for i := range 3 {
					w.use(fmt.Sprint("target-", i))
				}
				synctest.Wait()
				if !w.Table.Isolated() {
					t.Fatal("not isolated")
				}
				w.takeDirects()
				for range 100 {
					start := time.Now()
					if !w.use("target-4") || time.Since(start) > 0 {
						t.Fatalf("not relayed at once, but after %v", time.Since(start))
					}
					time.Sleep(100 * time.Millisecond)
				}
				if n := w.takeDirects(); n < 10 || n > 40 {
					t.Errorf("%d probes in ten seconds", n)
				}
				w.setRelays(busy)
				time.Sleep(cutOffExclusion)
				start := time.Now()
				if _, err := w.connect(target); err == nil || time.Since(start) > 0 {
					t.Errorf("error %v after %v", err, time.Since(start))
				}
				w.set(connects)
				time.Sleep(time.Second)
				if w.use(target) {
					t.Error("relayed though the links have returned")
				}
				if len(changes) != 2 || !changes[0] || changes[1] {
					t.Errorf("reported %v", changes)
				}
				w.stopProbes()
			})
		})
	}
}

// setRelays sets the outcome of all peers.
func (w *world) setRelays(o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address := range w.relays {
		w.relays[address] = o
	}
}

// use opens and closes a connection, and reports whether it was relayed.
func (w *world) use(address string) (relayed bool) {
	w.t.Helper()
	c, err := w.connect(address)
	if err != nil {
		w.t.Errorf("%s: %v", address, err)
		return false
	}
	_ = c.Close()
	return isRelayed(c)
}

// TestLeaveWhileConnecting guards against connections that stay open because the request ended
// while they were opened.
func TestLeaveWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, outcome{after: 250 * time.Millisecond}, outcome{after: 150 * time.Millisecond})
		for delay := range 30 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(delay)*10*time.Millisecond)
			c, err := w.Connect(ctx, target, 0, func(ctx context.Context) (net.Conn, error) { return w.dial(ctx, target) })
			if err == nil {
				_ = c.Close()
			}
			cancel()
		}
		w.checkAllClosed()
		w.stopProbes()
	})
}

// TestRefusalTakesTwoObservers guards against a target that counts as crashed because this process
// alone can't connect to it.
func TestRefusalTakesTwoObservers(t *testing.T) {
	for name, c := range map[string]struct {
		relays []outcome
		want   bool
	}{
		"a peer connects":             {[]outcome{connects}, false},
		"peers are refused, too":      {[]outcome{refusedTo, refusedTo}, true},
		"peers can't tell":            {[]outcome{cutOff, busy}, false},
		"there is no peer":            {nil, true},
		"peers of an earlier version": {[]outcome{earlier}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, refused, c.relays...)
				if got := w.ConfirmsRefusal(t.Context(), target); got != c.want {
					t.Errorf("confirmed: %v", got)
				}
				w.checkAllClosed()
			})
		})
	}
}

// TestRefusingLinks guards against targets that count as crashed because the links of all processes
// refuse connections.
func TestRefusingLinks(t *testing.T) {
	for name, c := range map[string]struct {
		healthy, cutOff []string
		want            bool
	}{
		"no other target":             {nil, nil, true},
		"another target connects":     {[]string{"10.0.0.2:80"}, nil, true},
		"the third one connects":      {[]string{"10.0.0.4:80"}, []string{"10.0.0.2:80", "10.0.0.3:80"}, true},
		"no other target connects":    {nil, []string{"10.0.0.2:80"}, false},
		"none of many others connect": {nil, []string{"10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80", "10.0.0.5:80"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, refused, refusedTo, refusedTo)
				w.healthy, w.cutOff = c.healthy, c.cutOff
				if got := w.ConfirmsRefusal(t.Context(), target); got != c.want {
					t.Errorf("confirmed: %v", got)
				}
				w.checkAllClosed()
			})
		})
	}
}

// TestRelayerAdmits checks which connections a process relays.
func TestRelayerAdmits(t *testing.T) {
	request := func(urgency int) hookhall.RelayRequest {
		return hookhall.RelayRequest{TargetID: "target at " + target, Address: target, Urgency: urgency}
	}
	newRelayer := func(w *world) *Relayer {
		return &Relayer{Paths: w.Paths, MaxConnections: 20, IsOverloaded: func() bool { return false }, Dial: func(ctx context.Context, address string, _ bool) (net.Conn, error) { return w.dial(ctx, address) }}
	}
	check := func(t *testing.T, r *Relayer, request hookhall.RelayRequest, want hookhall.RelayFailure) net.Conn {
		t.Helper()
		c, err := r.Open(t.Context(), request, "peer")
		var failure *hookhall.RelayError
		if errors.As(err, &failure); (failure == nil) != (want == "") || (failure != nil && failure.Failure != want) {
			t.Errorf("%v, want %q", err, want)
		}
		return c
	}
	t.Run("fewer of the less urgent ones", func(t *testing.T) {
		r := newRelayer(newWorld(t, connects))
		for _, step := range []struct{ urgency, most int }{{9, 10}, {2, 16}, {0, 20}} {
			for r.OpenCount() < int64(step.most) {
				check(t, r, request(step.urgency), "")
			}
			check(t, r, request(step.urgency), hookhall.RelayOverloaded)
		}
	})
	t.Run("a closed connection makes room", func(t *testing.T) {
		r := newRelayer(newWorld(t, connects))
		for range 100 {
			c := check(t, r, request(0), "")
			_ = c.Close()
			_ = c.Close()
		}
		if r.OpenCount() != 0 {
			t.Errorf("%d count as open", r.OpenCount())
		}
	})
	t.Run("only listed targets", func(t *testing.T) {
		r := newRelayer(newWorld(t, connects))
		check(t, r, hookhall.RelayRequest{TargetID: "another", Address: target}, hookhall.RelayUnknownTarget)
	})
	t.Run("a refusal is passed on and makes room", func(t *testing.T) {
		r := newRelayer(newWorld(t, refused))
		for range 100 {
			check(t, r, request(0), hookhall.RelayRefused)
		}
	})
	t.Run("a process that lags", func(t *testing.T) {
		r := newRelayer(newWorld(t, connects))
		r.IsOverloaded = func() bool { return true }
		check(t, r, request(0), hookhall.RelayOverloaded)
	})
	t.Run("a process that stops", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := newRelayer(newWorld(t, connects))
			c := check(t, r, request(0), "")
			r.Refuse()
			check(t, r, request(0), hookhall.RelayOverloaded)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if n := r.Drain(ctx); n != 1 || ctx.Err() == nil {
				t.Errorf("%d connections are open after the drain", n)
			}
			time.AfterFunc(time.Second, func() { _ = c.Close() })
			if n := r.Drain(t.Context()); n != 0 {
				t.Errorf("%d connections are open", n)
			}
		})
	})
	t.Run("an isolated process asks no other one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, refused, connects)
			for i := range 3 {
				w.use(fmt.Sprint("target-", i))
			}
			synctest.Wait()
			asked := len(w.asked)
			check(t, newRelayer(w), request(0), hookhall.RelayCutOff)
			if len(w.asked) != asked {
				t.Error("asked a peer")
			}
			w.stopProbes()
		})
	})
}
