// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package gateway assembles a gateway process: it constructs its components, starts
// them, and carries out the planned stop.
//
// # Model
//
// Start: the gateway listens, follows the platform's store and registers. It is ready
// as soon as the operators' table and the targets are known. Until then it refuses
// requests with the verdict that they were not run.
//
// Stop: the gateway reports that it is not ready, but accepts work for the notice
// period that the load balancer needs. It leaves the list of gateways at once, so that
// others broker the stages. Then it closes each connection after its answer, and the
// requests in progress end.
//
// All that is specific to one platform is injected through Adapters.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
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
	"github.com/hookhall/hookhall/internal/coordination/advisories"
	"github.com/hookhall/hookhall/internal/coordination/bindings"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/eras"
	"github.com/hookhall/hookhall/internal/coordination/forward"
	"github.com/hookhall/hookhall/internal/coordination/members"
	"github.com/hookhall/hookhall/internal/coordination/outage"
	"github.com/hookhall/hookhall/internal/coordination/paths"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/quarantine"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/intake"
	"github.com/hookhall/hookhall/internal/state/reach"
	"github.com/hookhall/hookhall/internal/transport/fleet"
	"github.com/hookhall/hookhall/internal/transport/front"
	"github.com/hookhall/hookhall/internal/transport/upstream"
	"github.com/pkg/errors"
)

const (
	// cleanupInterval is the time between removals of idle connections and of state
	// about targets and gateways that no longer exist. It reports the paces of engines.
	cleanupInterval = 2 * time.Second
	// keepAliveDrainPeriod is how long after the notice period requests on open
	// keep-alive connections are accepted; later ones might not end before the kill.
	keepAliveDrainPeriod = 300 * time.Millisecond
	// killMargin is how long before the kill a planned stop ends the remaining requests.
	// finalAnswersTimeout bounds how long it then waits: requests that still wait are
	// refused, and those answers need some milliseconds to reach their clients.
	killMargin          = 350 * time.Millisecond
	finalAnswersTimeout = 150 * time.Millisecond
	// internalTimeout bounds how long a readiness check or an operator may take to send a request, and to read its answer.
	internalTimeout = 5 * time.Second
	// idleTimeout bounds how long a client's connection may be idle before it is closed.
	idleTimeout = 75 * time.Second
	// readHeaderTimeout bounds how long a client may take to send a request's header; the
	// connection of a slower one is closed.
	readHeaderTimeout = 10 * time.Second
	// maxInternalHeadBytes bounds the heads of readiness checks and of operators' requests.
	maxInternalHeadBytes = 16 << 10
	// memoryLimitShare is the Go runtime's soft memory limit, as a fraction of the memory
	// that the process may use. Near the limit the garbage collector runs more often.
	memoryLimitShare = 0.7
	// answerBuffersShare is the fraction of that memory for answers buffered for
	// callers, and requestBodiesShare the fraction for request bodies.
	answerBuffersShare = 0.15
	requestBodiesShare = 0.15
	// relayMemoryShare is the fraction of that memory for connections that are relayed for
	// peers, each with buffers of relayConnectionBytes.
	relayMemoryShare     = 0.1
	relayConnectionBytes = 96 << 10
	// cutOffHold is how long after the return of its links this process still declines
	// ownership: a change of owners costs more than a few seconds without roles.
	cutOffHold = 5 * time.Second
	// maxWriterName bounds how many bytes of the instance's name are in the keys of this process's records: the
	// store takes keys of 200 bytes.
	maxWriterName = 40
	// logFlushTimeout bounds how long a stop waits for log lines to be written.
	logFlushTimeout = 200 * time.Millisecond

	// Paths at the address in the setting gateway.metrics.
	pathMetrics = "/metrics"
	pathState   = "/state"
	pathCrashes = "/crashes"
)

// Adapters has the implementations that connect a gateway to one platform. All are
// required except Advisories.
type Adapters struct {
	Store         hookhall.Store
	StoreSchema   hookhall.StoreSchema
	RolloutSchema hookhall.RolloutSchema
	Dialect       hookhall.Dialect
	Sender        hookhall.Sender
	Identifier    hookhall.Identifier // nil if targets don't report their incarnation
	StagePool     hookhall.StagePool
	// Advisories reports the advisories in targets' answers; nil if the platform has
	// none.
	Advisories hookhall.AdvisorySource
	// Connections has the connections to targets. The gateway closes idle ones every
	// cleanupInterval and bounds how many are kept.
	Connections *upstream.Pool
}

// Gateway is one gateway process.
type Gateway struct {
	settings  settings.Gateway
	adapters  Adapters
	log       *log.Logger
	logWriter *logging.AsyncWriter

	metrics        *metrics.Metrics
	eras           *eras.Store
	storeGate      *outage.Gate
	catalog        *catalog.Catalog
	members        *members.Members
	clients        *fleet.Clients
	broadcaster    *fleet.Broadcaster
	bootstrapper   *fleet.Bootstrapper
	tracker        *balance.Tracker
	broker         *stages.Broker
	runner         *stages.Runner
	placementOwner *placement.Owner
	quarantine     *quarantine.Quarantine
	advisories     *advisories.Advisories
	rollouts       *rollouts.Rollouts
	bindings       *bindings.Bindings
	recorder       *bindings.Recorder
	startedAt      atomic.Uint64 // the store's revision when the targets were first known, 0 before
	paths          *paths.Paths
	relayer        *paths.Relayer
	forwarder      *forward.Forwarder
	drain          *front.Drain
	handler        *front.Handler
	connections    *front.Connections
	intake         *front.Intake
	diversion      intake.Diversion
	bodyBudget     *buffer.Budget
	cachedPosition atomic.Pointer[positionSnapshot]
	cachedRoles    atomic.Pointer[tableRoles]
	// clientsListener can stop accepting connections while its server continues to run.
	clientsListener *front.Listener
	readyListener   net.Listener
	peersListener   net.Listener
	metricsListener net.Listener

	app      *kratos.App
	stopping atomic.Bool
}

// New returns a gateway that already listens; Run serves. It returns an error that
// names the setting if an address can't be opened. It sets the memory limit of the
// whole process, and log lines go to logTo without ever blocking the gateway.
func New(config settings.Gateway, adapters Adapters, logTo io.Writer) (*Gateway, error) {
	g := &Gateway{settings: config, adapters: adapters, logWriter: logging.NewAsyncWriter(logTo), metrics: metrics.New()}
	g.log = g.logger(logging.App)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(config.Gateway.MemoryMB) * (1 << 20)))
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.build()
	return g, nil
}

// listen opens all addresses, so that one that is already in use is reported before
// anything runs.
func (g *Gateway) listen() error {
	config := g.settings.Gateway
	var err error
	if g.clientsListener, err = front.Listen(config.Clients); err != nil {
		return errors.Wrap(err, "gateway.clients")
	}
	if g.readyListener, err = net.Listen("tcp", config.Ready); err != nil {
		return errors.Wrap(err, "gateway.ready")
	}
	if g.peersListener, err = net.Listen("tcp", config.Peers); err != nil {
		return errors.Wrap(err, "gateway.peers")
	}
	g.metricsListener, err = net.Listen("tcp", config.Metrics)
	return errors.Wrap(err, "gateway.metrics")
}

// logger returns the logger of the component named by prefix.
func (g *Gateway) logger(prefix string) *log.Logger {
	return logging.New(g.logWriter, g.settings.Log.Level, prefix)
}

// build constructs the components and connects them. The addresses must be open.
func (g *Gateway) build() {
	config := g.settings
	self := hookhall.Member{ID: config.Gateway.Instance, Instance: config.Gateway.Instance, Hall: config.Gateway.Hall, Address: g.peersListener.Addr().String(), RelativeCapacity: config.Gateway.RelativeCapacity()}
	g.eras = eras.New(g.adapters.Store, g.metrics, g.logger(logging.Catalog))
	g.storeGate = outage.NewGate(g.eras)
	g.storeGate.Pace, g.storeGate.Meter, g.storeGate.Log = g.outagePace, g.metrics, g.logger(logging.Catalog)
	g.catalog = catalog.New(g.storeGate, g.adapters.StoreSchema, g.logger(logging.Catalog))
	g.catalog.DrainTime = time.Duration(config.Bounds.DrainMS) * time.Millisecond
	g.members = members.New(self, g.storeGate, g.logger(logging.Members))
	g.members.Roles, g.members.Meter = g.roles, g.metrics
	g.clients = fleet.NewClients(g.logger(logging.Members))
	g.quarantine = quarantine.New(g.adapters.Connections, g.catalog, g.storeGate, g.logger(logging.Crashes))
	g.rollouts = &rollouts.Rollouts{
		Keys: g.adapters.RolloutSchema, Store: g.storeGate, Fleet: g.members, Directory: g.catalog, MaxCanaryShare: config.Bounds.ExposeShare, Log: g.logger(logging.Rollout),
		Remote: func(address string) rollouts.Remote { return g.clients.Client(address) },
	}
	g.catalog.ApplyOperatorKeys = g.rollouts.ApplyItems
	g.broadcaster = &fleet.Broadcaster{Peers: g.members, Clients: g.clients, Catalog: g.catalog, Crashes: g.quarantine, Rollouts: g.rollouts}
	g.bootstrapper = &fleet.Bootstrapper{Clients: g.clients, Catalog: g.catalog, Members: g.members, Crashes: g.quarantine, Log: g.logger(logging.Catalog), StartedAt: clock.Now()}
	g.quarantine.IsStoreWriter = func() bool { return g.catalog.ReaderRank() == 0 }
	g.quarantine.Era = g.eras.Era
	g.quarantine.Broadcast = g.broadcaster.ReportCrashes
	g.quarantine.Meter = g.metrics
	g.broadcaster.Bootstrapper = g.bootstrapper
	g.broadcaster.OnUpdate = g.storeGate.ReportAnswered
	g.catalog.StoreFailing = g.storeGate.Failing
	g.catalog.OnStoreRead = g.broadcaster.Broadcast
	g.catalog.PullTable, g.catalog.PullTargets = g.broadcaster.PullTable, g.broadcaster.PullTargets
	g.catalog.ReaderRank = g.readerRank
	g.catalog.GatewayCount = g.members.Count
	g.adapters.Connections.OnNoAnswer = g.metrics.NoAnswer
	g.adapters.Connections.MaxIdle = g.maxIdleConnections
	g.paths = &paths.Paths{
		Table: &reach.Table{}, Breaks: &reach.Breaks{}, Relays: &reach.Relays{}, Fleet: g.members, Targets: g.catalog,
		Remote: func(address string) hookhall.Relay { return g.clients.Client(address) },
		Probe:  g.adapters.Connections.Probe, CloseIdle: g.closeIdle, AbandonSilent: g.adapters.Connections.AbandonSilent, OnIsolated: g.setIsolated, Meter: g.metrics, Log: g.logger(logging.Paths),
	}
	g.adapters.Connections.Paths = g.paths
	g.relayer = &paths.Relayer{
		Paths: g.paths, Dial: g.adapters.Connections.DialForPeer, IsOverloaded: g.members.Lagging,
		MaxConnections: int(relayMemoryShare * float64(config.Gateway.MemoryMB) * (1 << 20) / relayConnectionBytes),
	}
	g.catalog.OnRestart = func(before, after hookhall.Target) {
		g.adapters.Connections.CloseIdle(before.Address)
		g.advisories.Registry.TransferPause(before.Incarnation(), after.Incarnation(), clock.Now())
	}
	g.members.IsLeader = func() bool { return g.catalog.ReaderRank() < 2 }
	g.advisories = &advisories.Advisories{Registry: &advisory.Registry{}, Meter: g.metrics, Log: g.logger(logging.Advisories), MarkLeaving: g.catalog.MarkLeaving, Broadcast: g.broadcaster.Advise}
	g.broadcaster.Advisories, g.bootstrapper.Advisories = g.advisories, g.advisories
	if g.adapters.Advisories != nil {
		g.adapters.Advisories.SetObserver(g.advisories)
	}
	g.tracker = balance.NewTracker()
	g.broker = stages.NewBroker(g.catalog, g.adapters.StagePool, g.quarantine, g.rollouts, g.logger(logging.Stages))
	g.broker.Grants = g.grants
	g.broker.Meter = g.metrics
	g.broker.HandoverMeter = g.metrics
	coldLimits := balance.ColdLimits{RateFactor: config.Bounds.ColdOver, ExtraRequests: config.Bounds.ColdSlack}
	g.placementOwner = placement.NewOwner(g.catalog, coldLimits)
	g.placementOwner.OnPauseAvoided = g.metrics.PauseAvoided
	g.placementOwner.Grants = func(service string) advisory.Grants { return g.grants(placement.OwnerKey(service)) }
	g.runner = &stages.Runner{
		Local: g.broker, Fleet: g.members, Log: g.logger(logging.Stages), Meter: g.metrics,
		Remote: func(address string) stages.Remote { return g.clients.Client(address) },
		HallOf: func(handle string) string { return g.catalog.HallAt(g.adapters.StagePool.Holder(handle)) },
	}
	g.clients.ObserveLoads = g.runner.ObserveLoads
	g.buildBindings()
	g.forwarder = &forward.Forwarder{
		Bindings: g.bindings,
		Placement: &placement.Client{
			Local: g.placementOwner, Fleet: g.members,
			Remote: func(address string) placement.Remote { return g.clients.Client(address) },
		},
		Quarantine: g.quarantine, Rollouts: g.rollouts, Catalog: g.catalog, Stages: g.runner, Sender: g.adapters.Sender, Identifier: g.adapters.Identifier, Tracker: g.tracker,
		Advisories: g.advisories.Registry,
		Budget: budget.New(budget.Limits{
			Ratio: config.Bounds.RetryRatio, Slack: config.Bounds.RetrySlack,
			Window: config.Bounds.RetryWindow(),
		}, g.quotaPosition, clock.Now()),
		Buffers:   g.memoryBudget(answerBuffersShare),
		Admission: &forward.Admission{Mode: forward.AdmissionMode(config.Overload.Admission), Loads: g.runner, LateLast: config.Overload.LateLast},
		ColdShare: func(target string, service *hookhall.Service) int {
			return g.coldShare(target, coldLimits.MaxDirectSenders(service))
		},
		SlotShare:  g.slotShare,
		HallsIn:    g.hallsIn,
		TableBound: time.Duration(config.Bounds.ConfigMS) * time.Millisecond,
		Listed:     func() bool { listed, _ := g.members.Listed(); return listed },
		StopsIn:    func() (time.Duration, bool) { return g.drain.EndsIn() },
		Meter:      g.metrics, Log: g.logger(logging.Forward),
	}
	g.bodyBudget = g.memoryBudget(requestBodiesShare)
	g.connections = &front.Connections{}
	g.intake = &front.Intake{
		Limiter: &intake.Limiter{}, OnClosedUnread: g.metrics.ClosedUnread, MaxHead: g.forwarder.MaxHead,
		OnHeadTooLong: func() {
			g.metrics.OwnAnswer(http.StatusRequestHeaderFieldsTooLarge, string(hookhall.CauseTooLarge))
		},
	}
	g.clientsListener.Limit(g.intake)
	g.monitorDelay()
	g.app = g.newApp()
}

// buildBindings constructs what keeps streams at the software version that began them.
func (g *Gateway) buildBindings() {
	logger := g.logger(logging.Bindings)
	remote := func(address string) bindings.Remote { return g.clients.Client(address) }
	table, history := &binding.Table{}, &binding.History{}
	writer := g.settings.Gateway.Instance
	writer = writer[:min(len(writer), maxWriterName)] + "-" + strconv.FormatUint(rand.Uint64(), 36)
	g.recorder = &bindings.Recorder{
		Journal: &bindings.Journal{Store: g.storeGate, Era: g.eras.Era, Writer: writer, History: history, Log: logger},
		Table:   table, Fleet: g.members, Remote: remote, Log: logger,
	}
	g.bindings = &bindings.Bindings{
		Table: table, History: history, Fleet: g.members, Remote: remote, ListAge: g.catalog.TargetsAge,
		StartedAt: func() hookhall.Revision { return hookhall.Revision(g.startedAt.Load()) }, Recorder: g.recorder, Meter: g.metrics, Log: logger,
	}
	g.catalog.OnVersions = func(service string, versions map[string]bool) {
		history.Observe(service, versions, clock.Now())
		g.recorder.Observe(service, versions)
	}
}

// memoryBudget returns a budget of the given fraction of the memory that the process
// may use.
func (g *Gateway) memoryBudget(share float64) *buffer.Budget {
	return buffer.NewBudget(int64(share * float64(g.settings.Gateway.MemoryMB) * (1 << 20)))
}

// newApp returns the servers for clients, readiness checks, operators and peers. They
// run without the framework's default timeouts, which would cut off streamed answers,
// and without its router, which would change paths.
func (g *Gateway) newApp() *kratos.App {
	g.handler = front.NewHandler(g.forwarder, g.adapters.Dialect, g.bodyBudget, g.logger(logging.Forward))
	g.handler.Meter = g.metrics
	g.drain = front.NewDrain(g.handler, g.handler.Refuse)
	g.handler.IsCrowded = g.intake.Limiter.Limited
	clientServer := newServer(g.clientsListener, g.intake.AfterHead(g.drain))
	clientServer.ConnContext = g.intake.ConnContext
	clientServer.ConnState = func(c net.Conn, state http.ConnState) {
		g.connections.StateChanged(c, state)
		g.intake.StateChanged(c, state)
	}
	readyServer := newServer(g.readyListener, http.HandlerFunc(g.serveReady))
	readyServer.MaxHeaderBytes = maxInternalHeadBytes
	readyServer.ReadTimeout, readyServer.WriteTimeout = internalTimeout, internalTimeout
	mux := http.NewServeMux()
	mux.Handle(pathMetrics, g.metrics.Handler())
	mux.HandleFunc(pathState, g.serveState)
	mux.HandleFunc("GET "+pathCrashes, g.serveRefusedContents)
	mux.HandleFunc("DELETE "+pathCrashes+"/{content}", g.serveRelease)
	operatorServer := newServer(g.metricsListener, mux)
	operatorServer.MaxHeaderBytes = maxInternalHeadBytes
	operatorServer.ReadTimeout, operatorServer.WriteTimeout = internalTimeout, internalTimeout
	peerServer := kgrpc.NewServer(kgrpc.Listener(g.peersListener), kgrpc.Address(g.peersListener.Addr().String()), kgrpc.Timeout(0),
		kgrpc.UnaryInterceptor(fleet.CheckUnaryReceiver(g.settings.Gateway.Instance)), kgrpc.StreamInterceptor(fleet.CheckStreamReceiver(g.settings.Gateway.Instance)))
	pb.RegisterFleetServer(peerServer, &fleet.Server{Broker: g.broker, PlacementOwner: g.placementOwner, Relayer: g.relayer, Bindings: g.bindings, Journal: g.recorder.Journal, Broadcaster: g.broadcaster})
	return kratos.New(
		kratos.Name("hookhall-gateway"), kratos.Server(clientServer, readyServer, operatorServer, peerServer),
		kratos.Logger(logging.Bridge(g.log)), kratos.Signal(cli.NoSignal{}), kratos.StopTimeout(time.Second),
	)
}

// newServer returns an HTTP server that passes all requests at listener to handler.
func newServer(listener net.Listener, handler http.Handler) *khttp.Server {
	// Without an address the framework lists the machine's network interfaces, which some
	// platforms don't allow.
	httpServer := khttp.NewServer(khttp.Listener(listener), khttp.Address(listener.Addr().String()), khttp.Timeout(0))
	httpServer.Handler = handler
	httpServer.IdleTimeout = idleTimeout
	httpServer.ReadHeaderTimeout = readHeaderTimeout
	return httpServer
}

// serveReady answers the load balancer's readiness check: 200 if the gateway accepts
// work, else 503.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.catalog.Ready() || g.diversion.Active() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until ctx ends, then carries out the planned stop. It returns an error if
// the servers fail.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Info("Starting.", "instance", g.settings.Gateway.Instance, "hall", g.settings.Gateway.Hall, "version", cli.Version(),
		"clients", g.clientsListener.Addr().String(), "ready", g.readyListener.Addr().String(), "peers", g.peersListener.Addr().String(),
		"metrics", g.metricsListener.Addr().String(), "store", g.settings.Store.Address)
	loops, endLoops := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){g.logSuspensions, g.catalog.Run, g.members.Run, g.quarantine.Run, g.rollouts.Run, g.recorder.Run, g.runHandover, g.runner.RunReports, g.cleanUp, g.logReady, g.startFromSeeds, (&fleet.LostPeerNotifier{Broadcaster: g.broadcaster}).Run} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(loops)
		}()
	}
	served := make(chan error, 1)
	go func() { served <- g.app.Run() }()
	var err error
	select {
	case err = <-served:
		g.log.Error("servers ended unexpectedly", "error", errors.Wrap(err, "gateway").Error())
	case <-ctx.Done():
		g.stop()
		err = g.app.Stop()
	}
	endLoops()
	wg.Wait()
	g.log.Info("Stopped.", "cut", g.drain.InFlight())
	g.logWriter.Flush(logFlushTimeout)
	return errors.Wrap(err, "gateway")
}

// stop carries out the planned stop and returns when no request is in progress and no connection is
// relayed for a peer. At
// killMargin before the end of the grace period it ends the remaining requests, which
// takes up to finalAnswersTimeout, and logs how many were cut off.
func (g *Gateway) stop() {
	stopStart := clock.Now()
	notice := g.settings.Bounds.Notice()
	grace := max(g.settings.Bounds.Grace()-killMargin, 0)
	g.stopping.Store(true)
	g.relayer.Refuse()
	g.log.Info("Stopping.", "in_progress", g.drain.InFlight(), "notice", notice, "grace", grace)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	go g.members.Leave(ctx)
	go g.bindings.HandOver(ctx)
	retry.Sleep(ctx, notice)
	g.drain.DisableKeepAlives()
	g.clientsListener.StopAccepting()
	retry.Sleep(ctx, keepAliveDrainPeriod)
	remaining := g.drain.RefuseAndWait(ctx, stopStart.Add(grace))
	relayed := g.relayer.Drain(ctx)
	if relayed > 0 {
		g.log.Warn("stop period over with connections relayed for peers", "relayed", relayed)
	}
	if remaining == 0 {
		return
	}
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), finalAnswersTimeout)
	defer cancelFinal()
	cut := g.drain.CancelAndWait(finalCtx)
	g.log.Warn("stop period over with requests still in progress", "in_progress", remaining, "cut", cut, "after", clock.Since(stopStart))
}

// logSuspensions logs each suspension of the instance, until ctx ends.
func (g *Gateway) logSuspensions(ctx context.Context) {
	clock.WatchSuspensions(ctx, func(slept time.Duration) {
		g.log.Warn("instance suspended; known state is older by the time it slept", "slept", slept)
	})
}

// runHandover hands over the pools that this gateway no longer owns, until ctx ends.
func (g *Gateway) runHandover(ctx context.Context) { g.broker.RunHandover(ctx, g.members) }

// startFromSeeds reads the current state from the gateways in the setting gateway.seeds,
// other than this one, if the store does not answer at the start.
func (g *Gateway) startFromSeeds(ctx context.Context) {
	own := g.peersListener.Addr().String()
	g.bootstrapper.Run(ctx, slices.DeleteFunc(slices.Clone(g.settings.Gateway.Seeds), func(address string) bool { return address == own }))
}

// logReady logs one line when the gateway can serve requests.
func (g *Gateway) logReady(ctx context.Context) {
	startedAt := clock.Now()
	const checkInterval = 20 * time.Millisecond
	for !g.catalog.Ready() {
		if !retry.Sleep(ctx, checkInterval) {
			return
		}
	}
	g.startedAt.Store(uint64(g.catalog.Snapshot().Revision))
	g.log.Info("Ready.", "table", g.catalog.Table().Version(), "targets", len(g.catalog.KnownTargets()), "after", clock.Since(startedAt))
}

// cleanUp removes, every cleanupInterval until ctx ends, idle connections and the state
// about targets and gateways that no longer exist.
func (g *Gateway) cleanUp(ctx context.Context) {
	paces := paceReporter{Meter: g.metrics, Log: g.logger(logging.Placement)}
	for retry.Sleep(ctx, cleanupInterval) {
		now := clock.Now()
		g.adapters.Connections.Sweep(now)
		if g.catalog.Snapshot() != nil {
			targets := g.catalog.KnownTargets()
			isKnown := func(incarnation hookhall.Incarnation) bool {
				return targets[incarnation.ID].Start == incarnation.Start && targets[incarnation.ID].ID != ""
			}
			g.tracker.Prune(isKnown, now)
			g.placementOwner.Prune(isKnown, now)
			g.advisories.Registry.Prune(isKnown, now)
			g.paths.Relays.Prune(now)
			g.paths.Table.Prune(func(address string) bool { return g.catalog.ServiceAt(address) != "" })
			paces.report(g.placementOwner.PoolPaces())
		}
		isMember := map[string]bool{}
		for _, m := range g.members.List(now) {
			isMember[m.Address] = true
		}
		g.clients.CloseUnused(func(address string) bool { return isMember[address] })
	}
}
