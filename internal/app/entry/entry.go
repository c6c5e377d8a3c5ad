// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package entry puts an entry process together: it owns the parts, their
// start, and the planned stop.
//
// # Model
//
// Start: listen, follow the table, read the instance list; once the table is
// confirmed, join the fleet; ready when both are done. If the key-value service
// is away, a newcomer takes view and table from more than half of its peers and
// serves as a guest: it owns nothing until it can join.
//
// Stop: not ready, but taking work for the notice that the balancer needs;
// meanwhile leave the view and hand over claims; then refuse new work, finish
// what is in progress, settle claims, end.
package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kratos/kratos/v2"
	kgrpc "github.com/go-kratos/kratos/v2/transport/grpc"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/hookhall/hookhall/internal/app/logging"
	"github.com/hookhall/hookhall/internal/app/metrics"
	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/hookhall/hookhall/internal/coordination/claims"
	"github.com/hookhall/hookhall/internal/coordination/fleet"
	"github.com/hookhall/hookhall/internal/coordination/limits"
	"github.com/hookhall/hookhall/internal/coordination/pipeline"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/coordination/targets"
	"github.com/hookhall/hookhall/internal/protocol/wire"
	"github.com/hookhall/hookhall/internal/state/admission"
	"github.com/hookhall/hookhall/internal/state/claim"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routing"
	"github.com/hookhall/hookhall/internal/transport/backend"
	"github.com/hookhall/hookhall/internal/transport/callers"
	"github.com/hookhall/hookhall/internal/transport/front"
	"github.com/hookhall/hookhall/internal/transport/instances"
	"github.com/hookhall/hookhall/internal/transport/keyvalue"
	"github.com/hookhall/hookhall/internal/transport/operators"
	"github.com/hookhall/hookhall/internal/transport/peers"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

const (
	// readyPoll is how often a starting entry looks whether it can go on.
	readyPoll = 50 * time.Millisecond
	// byPeersAfter is how long a starting entry waits for the service before
	// it turns to its peers.
	byPeersAfter = 2 * time.Second
	// poolsTime is how long a starting entry waits for targets.
	poolsTime = 5 * time.Second
	// keepEvery is how often connections to former members are closed.
	keepEvery = 30 * time.Second
)

// Entry is one entry process.
type Entry struct {
	settings settings.Entry
	log      *log.Logger
	logTo    io.Writer
	started  time.Time

	kv      *keyvalue.Client
	list    *instances.Client
	clients *peers.Clients
	store   *claim.Store
	tables  *tables.Keeper
	fleet   *fleet.Fleet
	claims  *claims.Claims
	limits  *limits.Limits
	targets *targets.Directory
	runner  *pipeline.Runner
	metrics *metrics.Metrics
	peers   *peers.Server

	callersAt net.Listener
	peersAt   net.Listener
	app       *kratos.App
	drain     *front.Drain

	ready    atomic.Bool
	draining atomic.Bool
	closed   atomic.Bool
}

// New makes an entry and begins to listen, so that its addresses are known.
func New(s settings.Entry, logTo io.Writer) (*Entry, error) {
	e := &Entry{settings: s, logTo: logTo, started: clock.Now(), metrics: metrics.New()}
	e.log = e.logger(logging.App)
	var err error
	if e.callersAt, err = net.Listen("tcp", s.Entry.Callers); err != nil {
		return nil, errors.Wrap(err, "entry.callers")
	}
	if e.peersAt, err = net.Listen("tcp", s.Entry.Peers); err != nil {
		return nil, errors.Wrap(err, "entry.peers")
	}
	e.build()
	return e, nil
}

func (e *Entry) logger(prefix string) *log.Logger {
	return logging.New(e.logTo, e.settings.Log.Level, prefix)
}

// member is this process as it joins: its incarnation is its start.
func (e *Entry) member() hookhall.Member {
	address := e.settings.Entry.Advertise
	if address == "" {
		address = e.peersAt.Addr().String()
	}
	return hookhall.Member{
		ID:       e.settings.Entry.Instance + "#" + strconv.FormatInt(e.started.UnixNano(), 36),
		Instance: e.settings.Entry.Instance, Hall: e.settings.Entry.Hall, Address: address,
	}
}

func (e *Entry) build() {
	s := e.settings
	self := e.member()
	e.kv = keyvalue.New(s.Platform.KeyValue)
	e.list = instances.New(s.Platform.Instances)
	e.clients = peers.NewClients(s.Fleet.Secret)
	e.store = claim.New(self.ID, s.Fleet.Retention())
	e.tables = tables.NewKeeper(e.kv, e.logger(logging.Table))
	e.fleet = fleet.New(fleet.Parts{
		Self: self, KV: e.kv, List: e.list, Peers: e.clients,
		Store: e.store, Tables: e.tables, Log: e.logger(logging.Fleet),
		Timing: fleet.Timing{Heartbeat: s.Fleet.Heartbeat(), Suspect: s.Fleet.Suspect, List: s.Fleet.List()},
	})
	e.claims = claims.New(e.store, e.fleet, e.clients, e.logger(logging.Claims))
	e.limits = limits.New(e.fleet, e.tables, e.clients)
	back := backend.New()
	e.targets = targets.New(e.fleet, e.tables, back, targetPolicy(s.Policy), e.logger(logging.Targets))
	e.runner = pipeline.New(pipeline.Parts{
		Tables: e.tables, Targets: e.targets, Claims: e.claims, Limits: e.limits, Backend: back, Meter: e.metrics,
		Policy: pipeline.Policy{NoEarlyRefusal: !s.Policy.EarlyRefusal, NoClaims: !s.Policy.Claims},
	})
	e.peers = peers.NewServer(peerHandler{e}, s.Fleet.Secret, e.logger(logging.Peers))
	e.app = e.newApp()
}

func targetPolicy(p settings.PolicyPart) targets.Policy {
	policy := targets.Policy{NoWindow: !p.Window, NoPrefix: !p.Prefix}
	if p.Order == "arrival" {
		policy.Order = admission.OrderArrival
	}
	if p.Choice == "random" {
		policy.Choice = routing.ChoiceRandom
	}
	return policy
}

// newApp makes the servers. Their default timeouts would cut streams off.
func (e *Entry) newApp() *kratos.App {
	hs := khttp.NewServer(khttp.Listener(e.callersAt), khttp.Timeout(0))
	h := callers.New(service{e})
	e.drain = front.NewDrain(http.HandlerFunc(h.Run), func(w http.ResponseWriter, err *hookhall.Error) {
		wire.WriteProblem(w, wire.NewProblem("", err))
	})
	hs.HandleFunc(callers.PathRun, e.drain.ServeHTTP)
	hs.HandleFunc(callers.PathReady, h.Ready)
	hs.HandleFunc(callers.PathHealth, callers.Health)
	token := e.settings.Entry.OperatorToken
	hs.HandleFunc(operators.PathState, operators.Guard(token, operators.JSON(func(*http.Request) any { return e.State() })))
	hs.HandleFunc(operators.PathExplain, operators.Guard(token, operators.JSON(func(r *http.Request) any {
		return e.Explain(r.URL.Query().Get("account"))
	})))
	hs.HandleFunc(operators.PathMetrics, operators.Guard(token, e.metrics.Handler().ServeHTTP))
	gs := kgrpc.NewServer(kgrpc.Listener(e.peersAt), kgrpc.Timeout(0),
		kgrpc.UnaryInterceptor(e.peers.Check), kgrpc.Options(grpc.MaxRecvMsgSize(peers.MaxMessage)))
	e.peers.Register(gs)
	return kratos.New(
		kratos.Name("hookhall-entry"), kratos.Server(hs, gs),
		kratos.Logger(logging.Bridge(e.log)),
		// The planned stop is Run's: the framework must not act on SIGTERM.
		kratos.Signal(cli.NoSignal{}), kratos.StopTimeout(e.grace()),
	)
}

func (e *Entry) grace() time.Duration {
	return time.Duration(e.settings.Stop.GraceMS) * time.Millisecond
}

// Callers is the address that callers use.
func (e *Entry) Callers() string { return e.callersAt.Addr().String() }

// Peers is the address that peers use.
func (e *Entry) Peers() string { return e.peersAt.Addr().String() }

// Run serves until ctx ends, then stops as planned. A second cancellation,
// through force, ends the stop early.
func (e *Entry) Run(ctx, force context.Context) error {
	loops, endLoops := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){e.tables.Run, e.fleet.Run, e.targets.Run, e.limits.Run, e.keepPeers} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(loops)
		}()
	}
	served := make(chan error, 1)
	go func() { served <- e.app.Run() }()
	e.log.Info("Listening.", "callers", e.Callers(), "peers", e.Peers(), "member", e.fleet.Self().ID)
	e.start(ctx)
	var err error
	select {
	case err = <-served:
		e.log.Error("The servers ended.", "error", fmt.Sprint(err))
	case <-ctx.Done():
		e.stop(force)
		err = e.app.Stop()
		<-served
	}
	endLoops()
	wg.Wait()
	e.clients.Close()
	_ = e.metrics.Close() // the process ends
	e.log.Info("Stopped.")
	return errors.Wrap(err, "entry")
}

// start waits for the table and joins the fleet.
func (e *Entry) start(ctx context.Context) {
	began := clock.Now()
	for !e.tables.Ready() {
		if clock.Since(began) > byPeersAfter {
			e.learnFromPeers(ctx)
		}
		if !retry.Sleep(ctx, readyPoll) {
			return
		}
	}
	if err := e.fleet.Join(ctx); err != nil {
		e.log.Warn("Can't join yet; serving as a guest.", "error", err.Error())
	}
	for e.fleet.View().Epoch == 0 || e.fleet.Listed() == nil {
		e.learnFromPeers(ctx)
		if !retry.Sleep(ctx, readyPoll) {
			return
		}
	}
	e.fleet.CatchUp(ctx)
	e.awaitPools(ctx)
	e.ready.Store(true)
	e.log.Info("Ready.", "table", e.tables.Version(), "epoch", e.fleet.View().Epoch)
}

// awaitPools waits, but not for ever, until the list shows targets in all pools
// that the table names: until then this entry could only refuse.
func (e *Entry) awaitPools(ctx context.Context) {
	limit := clock.Now().Add(poolsTime)
	for clock.Now().Before(limit) {
		e.targets.Refresh(clock.Now())
		missing := e.missingPool()
		if missing == "" {
			e.targets.Poll(ctx) // capacities, before the first request
			e.targets.Refresh(clock.Now())
			return
		}
		if !retry.Sleep(ctx, readyPoll) {
			return
		}
	}
	e.log.Warn("Ready without targets.", "pool", e.missingPool())
}

// missingPool is the first pool in the table without a target.
func (e *Entry) missingPool() string {
	for _, p := range e.tables.Current().Snapshot.Pipelines {
		for _, s := range p.Stages {
			if pool := e.targets.Pool(s.Pool); pool == nil || len(pool.Targets()) == 0 {
				return s.Pool
			}
		}
	}
	return ""
}

// learnFromPeers takes view and table from listed entries.
func (e *Entry) learnFromPeers(ctx context.Context) {
	listing := e.fleet.Listed()
	if listing == nil {
		return
	}
	var all []hookhall.Peer
	for _, i := range listing.Instances {
		if i.Role != hookhall.RoleEntry || i.ID == e.settings.Entry.Instance {
			continue
		}
		all = append(all, e.clients.Peer(i.Address))
		_ = e.fleet.Probe(ctx, hookhall.Member{ID: i.ID, Address: i.Address}) // one that fails has nothing to tell
	}
	if !e.tables.Ready() && len(all) > 0 && e.tables.ConfirmByPeers(ctx, all) {
		e.log.Warn("The table is from peers; the service does not answer.", "version", e.tables.Version())
	}
}

// stop is the planned stop up to the moment when nothing is in progress.
func (e *Entry) stop(force context.Context) {
	e.draining.Store(true)
	e.log.Info("Stopping.", "active", e.runner.Active())
	notice := time.Duration(e.settings.Stop.NoticeMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(force, notice+e.grace())
	defer cancel()
	left := make(chan struct{})
	go func() {
		defer close(left)
		if err := e.fleet.Leave(ctx); err != nil {
			e.log.Warn("Could not hand over claims.", "error", err.Error())
		}
	}()
	retry.Sleep(ctx, notice)
	e.closed.Store(true)
	e.drain.Close()
	for e.runner.Active() > 0 && retry.Sleep(ctx, readyPoll) {
	}
	// A request that has been read, and is not active yet, must not be in progress
	// when its connection is closed: its caller would send it again, and meet
	// itself.
	e.drain.Finish(ctx)
	if n := e.runner.Active(); n > 0 {
		e.log.Error("Requests were cut off.", "active", n)
	}
	<-left
	if err := e.claims.Drain(ctx); err != nil {
		e.log.Warn("Stopping with claims that will expire.", "error", err.Error())
	}
}

// keepPeers closes connections to former members.
func (e *Entry) keepPeers(ctx context.Context) {
	for retry.Sleep(ctx, keepEvery) {
		current := map[string]bool{}
		v := e.fleet.View()
		for _, m := range append(v.Members, v.Unfenced...) {
			current[m.Address] = true
		}
		e.clients.Keep(func(a string) bool { return current[a] })
	}
}
