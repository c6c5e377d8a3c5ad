// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package settings

// Gateway is the settings of hookhall-gateway.
type Gateway struct {
	Gateway GatewayPart `toml:"gateway"`
	Store   StorePart   `toml:"store"`
	Bounds  BoundsPart  `toml:"bounds"`
	// Regions has the region of each hall of the deployment, for requests that may
	// run in some regions only.
	Regions map[string]string `toml:"regions"`
	Log     LogPart           `toml:"log"`
}

// GatewayPart tells a gateway who and where it is.
type GatewayPart struct {
	Instance string   `toml:"instance"`  // the platform's name of this instance
	Hall     string   `toml:"hall"`      // the hall it stands in
	Clients  string   `toml:"clients"`   // IP:port that clients use
	Ready    string   `toml:"ready"`     // IP:port at which the balancer asks
	Peers    string   `toml:"peers"`     // IP:port that other gateways use
	Seeds    []string `toml:"seeds"`     // IP:port of a few gateways, asked at a start while the store is away
	Metrics  string   `toml:"metrics"`   // IP:port for metrics and state dumps
	Cores    float64  `toml:"cores"`     // of a processor, for the process
	LinkMbps float64  `toml:"link_mbps"` // of the instance's link
	MemoryMB int      `toml:"memory_mb"` // what the process may use
}

// StorePart tells where the platform's store is.
type StorePart struct {
	Address string `toml:"address"` // IP:port
}

// BoundsPart has the operators' bounds.
type BoundsPart struct {
	GraceMS       int     `toml:"grace_ms"`        // from the signal to stop to the kill
	NoticeMS      int     `toml:"notice_ms"`       // how long a stopping gateway still takes work
	RetryRatio    float64 `toml:"retry_ratio"`     // repeats, as a share of requests
	RetryWindowMS int     `toml:"retry_window_ms"` // the window they are counted in
	RetrySlack    float64 `toml:"retry_slack"`     // repeats beyond it, of the whole fleet
	ColdOver      float64 `toml:"cold_over"`       // what a cold target may get, as a multiple of what it bears
	ColdSlack     float64 `toml:"cold_slack"`      // requests a second beyond it
	ExposeShare   float64 `toml:"expose_share"`    // of a service's requests, what a version that may be bad may get
}

// DefaultGateway has the defaults of all keys that have one.
func DefaultGateway() Gateway {
	return Gateway{
		Gateway: GatewayPart{Cores: 1, LinkMbps: 1000, MemoryMB: 256},
		Bounds:  BoundsPart{GraceMS: 8000, NoticeMS: 2600, RetryRatio: 0.1, RetryWindowMS: 10000, RetrySlack: 10, ColdOver: 1, ExposeShare: 0.1},
		Log:     LogPart{Level: "info"},
	}
}

// Check returns what is wrong, as a list of Mistakes.
func (s *Gateway) Check() []Mistake {
	c := &checker{}
	c.word("gateway.instance", s.Gateway.Instance)
	c.word("gateway.hall", s.Gateway.Hall)
	c.address("gateway.clients", s.Gateway.Clients)
	c.address("gateway.ready", s.Gateway.Ready)
	c.address("gateway.peers", s.Gateway.Peers)
	for _, a := range s.Gateway.Seeds {
		c.address("gateway.seeds", a)
	}
	c.address("gateway.metrics", s.Gateway.Metrics)
	c.positive("gateway.cores", s.Gateway.Cores)
	c.positive("gateway.link_mbps", s.Gateway.LinkMbps)
	c.within("gateway.memory_mb", s.Gateway.MemoryMB, 32, 1<<20)
	c.address("store.address", s.Store.Address)
	c.within("bounds.grace_ms", s.Bounds.GraceMS, 100, 600000)
	c.within("bounds.notice_ms", s.Bounds.NoticeMS, 0, s.Bounds.GraceMS)
	c.within("bounds.retry_window_ms", s.Bounds.RetryWindowMS, 100, 600000)
	c.share("bounds.retry_ratio", s.Bounds.RetryRatio)
	if s.Bounds.RetrySlack < 0 {
		c.add("bounds.retry_slack", "%v is not accepted; 0 or more is", s.Bounds.RetrySlack)
	}
	if s.Bounds.ColdOver < 1 {
		c.add("bounds.cold_over", "%v is not accepted; 1 or more is", s.Bounds.ColdOver)
	}
	if s.Bounds.ColdSlack < 0 {
		c.add("bounds.cold_slack", "%v is not accepted; 0 or more is", s.Bounds.ColdSlack)
	}
	c.share("bounds.expose_share", s.Bounds.ExposeShare)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	return c.list
}

func (c *checker) share(key string, v float64) {
	if v < 0 || v > 1 {
		c.add(key, "%v is not accepted; 0 to 1 is", v)
	}
}

func (c *checker) positive(key string, v float64) {
	if v <= 0 {
		c.add(key, "%v is not accepted; more than 0 is", v)
	}
}

// Power is what an instance can carry of the fleet's shared work, against others:
// the scarcer of processor and link.
func (p GatewayPart) Power() float64 {
	const mbpsPerCore = 100 // links beyond that are no bound
	return min(p.Cores, p.LinkMbps/mbpsPerCore)
}
