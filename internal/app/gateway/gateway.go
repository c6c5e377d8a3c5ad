// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package gateway puts a gateway process together: it owns the parts, their
// start, and the planned stop.
//
// # Model
//
// Start: listen, follow the platform's store, register; ready as soon as the
// operators' table and the targets are known. Until then requests are refused as
// not run.
//
// Stop: not ready, but taking work for the notice that the balancer needs; off
// the list of gateways at once, so that others broker the stages; then
// connections are closed behind their answers, and what is in progress ends.
//
// Whatever belongs to one platform comes in by Adapters.
package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
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
	"github.com/hookhall/hookhall/internal/coordination/advisories"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/eras"
	"github.com/hookhall/hookhall/internal/coordination/forward"
	"github.com/hookhall/hookhall/internal/coordination/members"
	"github.com/hookhall/hookhall/internal/coordination/outage"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/quarantine"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/transport/fleet"
	"github.com/hookhall/hookhall/internal/transport/front"
	"github.com/hookhall/hookhall/internal/transport/upstream"
	"github.com/pkg/errors"
)

const (
	// tidyEvery is how often connections and accounts are swept.
	tidyEvery = 2 * time.Second
	// lastCalls is how long requests on kept connections are taken after the
	// notice; later ones could not be ended before the kill.
	lastCalls = 300 * time.Millisecond
	// killMargin is how long before the kill a stop ends what is left, and lastAnswers how
	// long that may take: requests that still wait are told so, and the answers are some
	// milliseconds on their way.
	killMargin  = 350 * time.Millisecond
	lastAnswers = 150 * time.Millisecond
	// idleTime is how long a client's connection may rest.
	idleTime = 75 * time.Second
	// readHeaderTime is how long a client may take for a head.
	readHeaderTime = 10 * time.Second
	// memoryShare of what a process may use is where the collector works harder.
	memoryShare = 0.7
	// buffersShare is the part of it that answers may take which are held for callers, and
	// bodiesShare that of the bodies of requests.
	buffersShare = 0.15
	bodiesShare  = 0.15
	flushTime    = 200 * time.Millisecond

	pathMetrics = "/metrics"
	pathState   = "/state"
	pathCrashes = "/crashes"
)

// Adapters join a gateway to a platform.
type Adapters struct {
	Store    hookhall.Store
	Platform hookhall.Platform
	Rollouts hookhall.RolloutKeys
	Dialect  hookhall.Dialect
	Sender   hookhall.Sender
	Pool     hookhall.StagePool
	// Advisories reads the advisories in answers; nil if nothing does.
	Advisories hookhall.AdvisorySource
	// Connections are swept now and then.
	Connections *upstream.Pool
}

// Gateway is one process.
type Gateway struct {
	settings settings.Gateway
	adapters Adapters
	log      *log.Logger
	out      *logging.Async

	metrics     *metrics.Metrics
	eras        *eras.Store
	gate        *outage.Gate
	catalog     *catalog.Catalog
	members     *members.Members
	clients     *fleet.Clients
	broadcaster *fleet.Broadcaster
	starter     *fleet.Starter
	tracker     *balance.Tracker
	broker      *stages.Broker
	placer      *placement.Placer
	quarantine  *quarantine.Quarantine
	advisories  *advisories.Advisories
	rollouts    *rollouts.Rollouts
	forward     *forward.Forwarder
	drain       *front.Drain
	bodies      *buffer.Budget
	resting     atomic.Pointer[connectionSharers]
	// Listeners; the first can stop accepting by itself.
	clientsAt *front.Listener
	readyAt   net.Listener
	peersAt   net.Listener
	metricsAt net.Listener

	app      *kratos.App
	stopping atomic.Bool
}

// New makes a gateway that listens for clients; Run serves.
func New(s settings.Gateway, a Adapters, logTo io.Writer) (*Gateway, error) {
	g := &Gateway{settings: s, adapters: a, out: logging.NewAsync(logTo), metrics: metrics.New()}
	g.log = g.logger(logging.App)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Gateway.MemoryMB) * (1 << 20)))
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.build()
	return g, nil
}

// listen opens all addresses first, so that one that is taken is reported before
// anything runs.
func (g *Gateway) listen() error {
	s := g.settings.Gateway
	var err error
	if g.clientsAt, err = front.Listen(s.Clients); err != nil {
		return errors.Wrap(err, "gateway.clients")
	}
	if g.readyAt, err = net.Listen("tcp", s.Ready); err != nil {
		return errors.Wrap(err, "gateway.ready")
	}
	if g.peersAt, err = net.Listen("tcp", s.Peers); err != nil {
		return errors.Wrap(err, "gateway.peers")
	}
	g.metricsAt, err = net.Listen("tcp", s.Metrics)
	return errors.Wrap(err, "gateway.metrics")
}

func (g *Gateway) logger(prefix string) *log.Logger {
	return logging.New(g.out, g.settings.Log.Level, prefix)
}

func (g *Gateway) build() {
	s := g.settings
	self := hookhall.Member{ID: s.Gateway.Instance, Instance: s.Gateway.Instance, Hall: s.Gateway.Hall, Address: g.peersAt.Addr().String(), Power: s.Gateway.Power()}
	g.eras = eras.New(g.adapters.Store, g.metrics, g.logger(logging.Catalog))
	g.gate = outage.NewGate(g.eras)
	g.gate.Pace = g.outagePace
	g.catalog = catalog.New(g.gate, g.adapters.Platform, g.logger(logging.Catalog))
	g.members = members.New(self, g.gate, g.logger(logging.Members))
	g.clients = fleet.NewClients(g.logger(logging.Members))
	g.quarantine = quarantine.New(g.adapters.Connections, g.catalog, g.gate, g.logger(logging.Crashes))
	g.rollouts = &rollouts.Rollouts{
		Keys: g.adapters.Rollouts, Store: g.gate, Fleet: g.members, Directory: g.catalog, Share: s.Bounds.ExposeShare, Log: g.logger(logging.Rollout),
		Remote: func(address string) rollouts.Remote { return g.clients.Client(address) },
	}
	g.catalog.Orders = g.rollouts.Read
	g.broadcaster = &fleet.Broadcaster{Peers: g.members, Clients: g.clients, Catalog: g.catalog, Ends: g.quarantine, Rollouts: g.rollouts}
	g.starter = &fleet.Starter{Clients: g.clients, Catalog: g.catalog, Members: g.members, Ends: g.quarantine, Log: g.logger(logging.Catalog), Began: clock.Now()}
	g.quarantine.Leads = func() bool { return g.catalog.Rank() == 0 }
	g.quarantine.Era = g.eras.Era
	g.quarantine.Tell = g.broadcaster.Report
	g.quarantine.Meter = g.metrics
	g.broadcaster.Start = g.starter
	g.broadcaster.Heard = g.gate.Heard
	g.catalog.Read = g.broadcaster.Broadcast
	g.catalog.Rank = g.readerRank
	g.catalog.Fleet = g.members.Count
	g.adapters.Connections.Resting = g.restingConnections
	g.catalog.Reborn = func(before, after hookhall.Target) {
		g.adapters.Connections.Forget(before.Address)
		g.advisories.Book.Reborn(before.Life(), after.Life(), clock.Now())
	}
	g.members.Leads = func() bool { return g.catalog.Rank() < 2 }
	g.advisories = &advisories.Advisories{Book: &advisory.Book{}, Meter: g.metrics, Log: g.logger(logging.Advised), Leave: g.catalog.Leave, Broadcast: g.broadcaster.Advise}
	g.broadcaster.Advisories, g.starter.Advisories = g.advisories, g.advisories
	if g.adapters.Advisories != nil {
		g.adapters.Advisories.Observe(g.advisories)
	}
	g.tracker = balance.NewTracker()
	g.broker = stages.NewBroker(g.catalog, g.adapters.Pool, g.quarantine, g.rollouts, g.logger(logging.Stages))
	g.broker.Grants = g.grants
	cold := balance.ColdLimits{Over: s.Bounds.ColdOver, Slack: s.Bounds.ColdSlack}
	g.placer = placement.NewPlacer(g.catalog, cold)
	g.placer.Grants = func(service string) advisory.Grants { return g.grants(placement.Key(service)) }
	runner := &stages.Runner{
		Local: g.broker, Fleet: g.members, Log: g.logger(logging.Stages),
		Remote: func(address string) stages.Remote { return g.clients.Client(address) },
		HallOf: func(handle string) string { return g.catalog.HallAt(g.adapters.Pool.Maker(handle)) },
	}
	g.forward = &forward.Forwarder{
		Placement: &placement.Client{
			Local: g.placer, Fleet: g.members,
			Remote: func(address string) placement.Remote { return g.clients.Client(address) },
		},
		Quarantine: g.quarantine, Rollouts: g.rollouts, Catalog: g.catalog, Stages: runner, Sender: g.adapters.Sender, Tracker: g.tracker,
		Advisories: g.advisories.Book,
		Budget: budget.New(budget.Limits{
			Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
			Window: time.Duration(s.Bounds.RetryWindowMS) * time.Millisecond,
		}, g.sharers, clock.Now()),
		Buffers:   g.memory(buffersShare),
		ColdShare: func(target string, s *hookhall.Service) int { return g.coldShare(target, cold.Owners(s)) },
		HallsIn:   g.hallsIn,
		Meter:     g.metrics, Log: g.logger(logging.Forward),
	}
	g.bodies = g.memory(bodiesShare)
	g.app = g.newApp()
}

// memory is a budget of a share of what the process may use.
func (g *Gateway) memory(share float64) *buffer.Budget {
	return buffer.NewBudget(int64(share * float64(g.settings.Gateway.MemoryMB) * (1 << 20)))
}

// newApp makes the servers. Their default timeouts would cut streams off, and
// their router would change paths.
func (g *Gateway) newApp() *kratos.App {
	h := front.NewHandler(g.forward, g.adapters.Dialect, g.bodies, g.logger(logging.Forward))
	g.drain = front.NewDrain(h, h.Refuse)
	clients := server(g.clientsAt, g.drain)
	ready := server(g.readyAt, http.HandlerFunc(g.ready))
	mux := http.NewServeMux()
	mux.Handle(pathMetrics, g.metrics.Handler())
	mux.HandleFunc(pathState, g.state)
	mux.HandleFunc("GET "+pathCrashes, g.crashes)
	mux.HandleFunc("DELETE "+pathCrashes+"/{content}", g.lift)
	control := server(g.metricsAt, mux)
	peers := kgrpc.NewServer(kgrpc.Listener(g.peersAt), kgrpc.Address(g.peersAt.Addr().String()), kgrpc.Timeout(0))
	pb.RegisterFleetServer(peers, &fleet.Server{Broker: g.broker, Placer: g.placer, Broadcaster: g.broadcaster})
	return kratos.New(
		kratos.Name("hookhall-gateway"), kratos.Server(clients, ready, control, peers),
		kratos.Logger(logging.Bridge(g.log)), kratos.Signal(cli.NoSignal{}), kratos.StopTimeout(time.Second),
	)
}

func server(l net.Listener, h http.Handler) *khttp.Server {
	// Without the address the framework lists the machine's interfaces, which not
	// every platform allows.
	s := khttp.NewServer(khttp.Listener(l), khttp.Address(l.Addr().String()), khttp.Timeout(0))
	s.Handler = h
	s.IdleTimeout = idleTime
	s.ReadHeaderTimeout = readHeaderTime
	return s
}

// ready answers the balancer.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.catalog.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until ctx ends, then stops as planned.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Info("Starting.", "instance", g.settings.Gateway.Instance, "hall", g.settings.Gateway.Hall, "version", cli.Version(),
		"clients", g.clientsAt.Addr().String(), "ready", g.readyAt.Addr().String(), "peers", g.peersAt.Addr().String(),
		"metrics", g.metricsAt.Addr().String(), "store", g.settings.Store.Address)
	loops, endLoops := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){g.watchClock, g.catalog.Run, g.members.Run, g.quarantine.Run, g.rollouts.Run, g.tidy, g.tellReady, g.askSeeds, (&fleet.Inviter{Broadcaster: g.broadcaster}).Run} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(loops)
		}()
	}
	served := make(chan error, 1)
	go func() { served <- g.app.Run() }()
	var err error
	select {
	case err = <-served:
		g.log.Error("The servers ended.", "error", errors.Wrap(err, "gateway").Error())
	case <-ctx.Done():
		g.stop()
		err = g.app.Stop()
	}
	endLoops()
	wg.Wait()
	g.log.Info("Stopped.", "cut", g.drain.InFlight())
	g.out.Flush(flushTime)
	return errors.Wrap(err, "gateway")
}

// stop drains.
func (g *Gateway) stop() {
	began := clock.Now()
	notice := time.Duration(g.settings.Bounds.NoticeMS) * time.Millisecond
	grace := time.Duration(g.settings.Bounds.GraceMS)*time.Millisecond - killMargin
	g.stopping.Store(true)
	g.log.Info("Stopping.", "in_progress", g.drain.InFlight(), "notice", notice, "grace", grace)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	go g.members.Leave(ctx)
	retry.Sleep(ctx, notice)
	g.drain.Close()
	g.clientsAt.StopAccepting()
	retry.Sleep(ctx, lastCalls)
	left := g.drain.Finish(ctx)
	if left == 0 {
		return
	}
	last, done := context.WithTimeout(context.Background(), lastAnswers)
	defer done()
	cut := g.drain.End(last)
	g.log.Warn("The time for a stop is over.", "in_progress", left, "cut", cut, "after", clock.Since(began))
}

// watchClock writes a line on each suspension of the instance.
func (g *Gateway) watchClock(ctx context.Context) {
	clock.Watch(ctx, func(slept time.Duration) {
		g.log.Warn("This instance was suspended; what it believes is older by that.", "slept", slept)
	})
}

// askSeeds helps a start while the store is away.
func (g *Gateway) askSeeds(ctx context.Context) {
	own := g.peersAt.Addr().String()
	g.starter.Run(ctx, slices.DeleteFunc(slices.Clone(g.settings.Gateway.Seeds), func(a string) bool { return a == own }))
}

// tellReady writes one line when the gateway can serve.
func (g *Gateway) tellReady(ctx context.Context) {
	began := clock.Now()
	const look = 20 * time.Millisecond
	for !g.catalog.Ready() {
		if !retry.Sleep(ctx, look) {
			return
		}
	}
	g.log.Info("Ready.", "table", g.catalog.Table().Version(), "targets", len(g.catalog.Known()), "after", clock.Since(began))
}

// tidy sweeps connections and accounts.
func (g *Gateway) tidy(ctx context.Context) {
	for retry.Sleep(ctx, tidyEvery) {
		now := clock.Now()
		g.adapters.Connections.Sweep(now)
		if g.catalog.Picture() != nil {
			targets := g.catalog.Known()
			known := func(l hookhall.Life) bool { return targets[l.ID].Born == l.Born && targets[l.ID].ID != "" }
			g.tracker.Keep(known, now)
			g.placer.Tidy(known, now)
			g.advisories.Book.Keep(known, now)
		}
		current := map[string]bool{}
		for _, m := range g.members.List(now) {
			current[m.Address] = true
		}
		g.clients.Keep(func(a string) bool { return current[a] })
	}
}
