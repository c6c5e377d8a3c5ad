// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package entry assembles an entry process: it constructs its components, starts
// them, and carries out the planned stop.
//
// # Model
//
// Start: the entry listens, follows the table and reads the instance list. Once the
// table is confirmed, it joins the fleet, and waits for targets in all pools. While the
// key-value service is unavailable, a new process reads the view from its peers, and the
// table if more than half of them answer. It then serves without being a member, and
// owns no claims and no limits until it can join.
//
// Stop: the entry reports that it is not ready, but accepts work for the notice
// period that the load balancer needs. Meanwhile it leaves the view and hands over
// its claims. Then it refuses new work, finishes the requests in progress, waits for
// settlements in progress, and ends.
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
	"github.com/hookhall/hookhall/internal/state/buffer"
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
	// readyPollInterval is the time between checks of a condition that a starting or
	// stopping entry waits for.
	readyPollInterval = 50 * time.Millisecond
	// callerTimeout bounds how long a caller may take to send a request and to read its answer, unless it is
	// one for a pipeline, which has its own bounds.
	callerTimeout = 10 * time.Second
	// callerIdleTimeout bounds how long a caller's connection may be idle.
	callerIdleTimeout = 75 * time.Second
	// peerFallbackDelay is how long a starting entry waits for the key-value service
	// before it asks its peers for the table.
	peerFallbackDelay = 2 * time.Second
	// poolsTimeout bounds how long a starting entry waits until all pools of the table
	// have targets; then it becomes ready without them.
	poolsTimeout = 5 * time.Second
	// answersShare is the fraction of the memory that the process may use for the answers of targets in
	// progress.
	answersShare = 0.25
	// peerCleanupInterval is the time between closings of connections to former
	// members.
	peerCleanupInterval = 30 * time.Second
)

// Entry is one entry process. ready is set when the start is complete, draining when
// the planned stop begins, and refusing when its notice period is over.
type Entry struct {
	settings settings.Entry
	log      *log.Logger
	logTo    io.Writer
	started  time.Time

	kv           *keyvalue.Client
	instanceList *instances.Client
	clients      *peers.Clients
	store        *claim.Store
	tables       *tables.Follower
	fleet        *fleet.Fleet
	claims       *claims.Claims
	limits       *limits.Limits
	targets      *targets.Directory
	runner       *pipeline.Runner
	metrics      *metrics.Metrics
	peers        *peers.Server

	callersListener net.Listener
	peersListener   net.Listener
	app             *kratos.App
	drain           *front.Drain

	ready    atomic.Bool
	draining atomic.Bool
	refusing atomic.Bool
}

// New returns an entry that already listens, so that its addresses are known; Run
// serves. It returns an error that names the setting if an address can't be opened.
func New(config settings.Entry, logTo io.Writer) (*Entry, error) {
	e := &Entry{settings: config, logTo: logTo, started: clock.Now(), metrics: metrics.New()}
	e.log = e.logger(logging.App)
	var err error
	if e.callersListener, err = net.Listen("tcp", config.Entry.Callers); err != nil {
		return nil, errors.Wrap(err, "entry.callers")
	}
	if e.peersListener, err = net.Listen("tcp", config.Entry.Peers); err != nil {
		return nil, errors.Wrap(err, "entry.peers")
	}
	e.build()
	return e, nil
}

// logger returns the logger of the component named by prefix.
func (e *Entry) logger(prefix string) *log.Logger {
	return logging.New(e.logTo, e.settings.Log.Level, prefix)
}

// member returns the member that this process joins the fleet as. Its ID contains
// the time of the start, so that each incarnation of an instance has its own.
func (e *Entry) member() hookhall.Member {
	address := e.settings.Entry.Advertise
	if address == "" {
		address = e.peersListener.Addr().String()
	}
	return hookhall.Member{
		ID:       e.settings.Entry.Instance + "#" + strconv.FormatInt(e.started.UnixNano(), 36),
		Instance: e.settings.Entry.Instance, Hall: e.settings.Entry.Hall, Address: address,
	}
}

// build constructs the components. The addresses must be open.
func (e *Entry) build() {
	config := e.settings
	self := e.member()
	e.kv = keyvalue.New(config.Platform.KeyValue)
	e.instanceList = instances.New(config.Platform.Instances)
	e.clients = peers.NewClients(config.Fleet.Secret)
	e.store = claim.New(self.ID, config.Fleet.Retention())
	e.tables = tables.NewFollower(e.kv, e.logger(logging.Table))
	e.fleet = fleet.New(fleet.Config{
		Self: self, KV: e.kv, InstanceList: e.instanceList, Peers: e.clients,
		Store: e.store, Tables: e.tables, Log: e.logger(logging.Fleet),
		Timing: fleet.Timing{HeartbeatInterval: config.Fleet.HeartbeatInterval(), SuspectThreshold: config.Fleet.Suspect, ListInterval: config.Fleet.ListInterval()},
	})
	e.claims = claims.New(e.store, e.fleet, e.clients, e.logger(logging.Claims))
	e.limits = limits.New(e.fleet, e.tables, e.clients)
	backends := backend.New(buffer.NewBudget(int64(answersShare * float64(config.Entry.MemoryMB) * (1 << 20))))
	e.targets = targets.New(e.fleet, e.tables, backends, targetPolicy(config.Policy), e.logger(logging.Targets))
	e.runner = pipeline.New(pipeline.Dependencies{
		Tables: e.tables, Targets: e.targets, Claims: e.claims, Limits: e.limits, Backend: backends, Meter: e.metrics,
		Policy: pipeline.Policy{NoEarlyRefusal: !config.Policy.EarlyRefusal, NoClaims: !config.Policy.Claims},
	})
	e.peers = peers.NewServer(peerHandler{e}, config.Fleet.Secret, e.logger(logging.Peers))
	e.app = e.newApp()
}

// targetPolicy returns the settings of the targets that experiments may change.
func targetPolicy(part settings.PolicySection) targets.Policy {
	policy := targets.Policy{NoWindow: !part.Window, NoPrefix: !part.Prefix}
	if part.Order == "arrival" {
		policy.Order = admission.OrderArrival
	}
	if part.Choice == "random" {
		policy.Choice = routing.ChoiceRandom
	}
	return policy
}

// newApp returns the HTTP server for callers and the gRPC server for peers. Timeouts
// of 0 replace the framework's default ones, which would cut off streamed answers.
func (e *Entry) newApp() *kratos.App {
	httpServer := khttp.NewServer(khttp.Listener(e.callersListener), khttp.Timeout(0))
	httpServer.ReadTimeout, httpServer.WriteTimeout, httpServer.IdleTimeout = callerTimeout, callerTimeout, callerIdleTimeout
	handler := callers.New(callersService{e})
	e.drain = front.NewDrain(http.HandlerFunc(handler.Run), func(w http.ResponseWriter, err *hookhall.Error) {
		wire.WriteProblem(w, wire.NewProblem("", err))
	})
	httpServer.HandleFunc(callers.PathRun, e.drain.ServeHTTP)
	httpServer.HandleFunc(callers.PathReady, handler.Ready)
	httpServer.HandleFunc(callers.PathHealth, callers.Health)
	token := e.settings.Entry.OperatorToken
	httpServer.HandleFunc(operators.PathState, operators.RequireToken(token, operators.JSON(func(*http.Request) any { return e.State() })))
	httpServer.HandleFunc(operators.PathExplain, operators.RequireToken(token, operators.JSON(func(r *http.Request) any {
		return e.Explain(r.URL.Query().Get("account"))
	})))
	httpServer.HandleFunc(operators.PathMetrics, operators.RequireToken(token, e.metrics.Handler().ServeHTTP))
	grpcServer := kgrpc.NewServer(kgrpc.Listener(e.peersListener), kgrpc.Timeout(0),
		kgrpc.UnaryInterceptor(e.peers.Authenticate), kgrpc.Options(grpc.MaxRecvMsgSize(peers.MaxMessageBytes)))
	e.peers.Register(grpcServer)
	return kratos.New(
		kratos.Name("hookhall-entry"), kratos.Server(httpServer, grpcServer),
		kratos.Logger(logging.Bridge(e.log)),
		// Run carries out the planned stop: the framework must not act on SIGTERM.
		kratos.Signal(cli.NoSignal{}), kratos.StopTimeout(e.gracePeriod()),
	)
}

// gracePeriod returns how long requests in progress may take after the notice period
// of a planned stop.
func (e *Entry) gracePeriod() time.Duration {
	return time.Duration(e.settings.Stop.GraceMS) * time.Millisecond
}

// CallersAddress returns the IP:port at which the entry listens for callers.
func (e *Entry) CallersAddress() string { return e.callersListener.Addr().String() }

// PeersAddress returns the IP:port at which the entry listens for its peers.
func (e *Entry) PeersAddress() string { return e.peersListener.Addr().String() }

// Run serves until ctx ends, then carries out the planned stop, which the end of
// force cuts short. It returns an error if the servers fail.
func (e *Entry) Run(ctx, force context.Context) error {
	loops, endLoops := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){e.tables.Run, e.fleet.Run, e.targets.Run, e.limits.Run, e.closeFormerPeers} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(loops)
		}()
	}
	served := make(chan error, 1)
	starting, endStart := context.WithCancel(ctx)
	defer endStart()
	go func() {
		served <- e.app.Run()
		endStart()
	}()
	e.log.Info("Listening.", "callers", e.CallersAddress(), "peers", e.PeersAddress(), "member", e.fleet.Self().ID)
	e.start(starting)
	var err error
	select {
	case err = <-served:
		e.log.Error("servers ended unexpectedly", "error", fmt.Sprint(err))
	case <-ctx.Done():
		e.stop(force)
		err = e.app.Stop()
		<-served
	}
	endLoops()
	wg.Wait()
	e.clients.Close()
	_ = e.metrics.Close() // the process ends, so that the error has no consequence
	e.log.Info("Stopped.")
	return errors.Wrap(err, "entry")
}

// start waits until the table is confirmed, joins the fleet and marks the entry as
// ready, also if it could not join yet. It returns early, without that, if ctx ends.
func (e *Entry) start(ctx context.Context) {
	startedAt := clock.Now()
	for !e.tables.Ready() {
		if clock.Since(startedAt) > peerFallbackDelay {
			e.learnFromPeers(ctx)
		}
		if !retry.Sleep(ctx, readyPollInterval) {
			return
		}
	}
	if err := e.fleet.Join(ctx); err != nil {
		e.log.Warn("could not join the fleet yet; serving without owning claims or limits", "error", err.Error())
	}
	for e.fleet.View().Epoch == 0 || e.fleet.LatestListing() == nil {
		e.learnFromPeers(ctx)
		if !retry.Sleep(ctx, readyPollInterval) {
			return
		}
	}
	e.fleet.FetchNewestTable(ctx)
	e.awaitPools(ctx)
	e.ready.Store(true)
	e.log.Info("Ready.", "table", e.tables.Version(), "epoch", e.fleet.View().Epoch)
}

// awaitPools waits up to poolsTimeout until the instance list shows targets in all
// pools of the table: without them this entry could only refuse requests.
func (e *Entry) awaitPools(ctx context.Context) {
	deadline := clock.Now().Add(poolsTimeout)
	for clock.Now().Before(deadline) {
		e.targets.Refresh(clock.Now())
		missing := e.firstEmptyPool()
		if missing == "" {
			e.targets.Poll(ctx) // reads the targets' capacities before the first request
			e.targets.Refresh(clock.Now())
			return
		}
		if !retry.Sleep(ctx, readyPollInterval) {
			return
		}
	}
	e.log.Warn("ready, but a pool has no targets", "pool", e.firstEmptyPool())
}

// firstEmptyPool returns the name of a pool in the table that has no targets, "" if
// all pools have some.
func (e *Entry) firstEmptyPool() string {
	for _, p := range e.tables.Current().Snapshot.Pipelines {
		for _, s := range p.Stages {
			if pool := e.targets.Pool(s.Pool); pool == nil || len(pool.Targets()) == 0 {
				return s.Pool
			}
		}
	}
	return ""
}

// learnFromPeers probes all other entries on the instance list, which updates the view, and
// confirms the table by the answers of its peers if it is not confirmed yet.
func (e *Entry) learnFromPeers(ctx context.Context) {
	listing := e.fleet.LatestListing()
	if listing == nil {
		return
	}
	var entries []hookhall.Peer
	for _, instance := range listing.Instances {
		if instance.Role != hookhall.RoleEntry || instance.ID == e.settings.Entry.Instance {
			continue
		}
		entries = append(entries, e.clients.Peer(instance.Address))
		_ = e.fleet.Probe(ctx, hookhall.Member{ID: instance.ID, Address: instance.Address}) // an entry that does not answer contributes nothing
	}
	if !e.tables.Ready() && len(entries) > 0 && e.tables.ConfirmByPeers(ctx, entries) {
		e.log.Warn("table confirmed by peers; the key-value service does not answer", "version", e.tables.Version())
	}
}

// stop carries out the planned stop until no request is in progress, or until the
// notice and grace periods are over or force ends.
func (e *Entry) stop(force context.Context) {
	e.draining.Store(true)
	e.log.Info("Stopping.", "active", e.runner.ActiveRequests())
	notice := time.Duration(e.settings.Stop.NoticeMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(force, notice+e.gracePeriod())
	defer cancel()
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		if err := e.fleet.Leave(ctx); err != nil {
			e.log.Warn("could not hand over claims", "error", err.Error())
		}
	}()
	retry.Sleep(ctx, notice)
	e.refusing.Store(true)
	e.drain.DisableKeepAlives()
	for e.runner.ActiveRequests() > 0 && retry.Sleep(ctx, readyPollInterval) {
	}
	// A request may have been read without being active yet. If its connection were
	// closed now, its caller would retry it while the first attempt still runs.
	e.drain.RefuseAndWait(ctx, time.Time{})
	if active := e.runner.ActiveRequests(); active > 0 {
		e.log.Error("requests cut off", "active", active)
	}
	<-handedOver
	if err := e.claims.Drain(ctx); err != nil {
		e.log.Warn("stopping with unsettled claims, which will expire", "error", err.Error())
	}
}

// closeFormerPeers closes the connections to former members every
// peerCleanupInterval, until ctx ends.
func (e *Entry) closeFormerPeers(ctx context.Context) {
	for retry.Sleep(ctx, peerCleanupInterval) {
		isCurrent := map[string]bool{}
		view := e.fleet.View()
		for _, m := range append(view.Members, view.Unfenced...) {
			isCurrent[m.Address] = true
		}
		e.clients.CloseUnused(func(address string) bool { return isCurrent[address] })
	}
}
