// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package settings

import "time"

// Gateway has the settings of hookhall-gateway.
type Gateway struct {
	Gateway GatewaySection `toml:"gateway"`
	Store   StoreSection   `toml:"store"`
	Bounds  BoundsSection  `toml:"bounds"`
	// Regions has the region of each hall of the deployment, by hall. Requests that
	// may run only in some regions are sent to targets in the halls of those regions.
	Regions  map[string]string `toml:"regions"`
	Overload OverloadSection   `toml:"overload"`
	Log      LogSection        `toml:"log"`
}

// GatewaySection identifies a gateway process and its instance, and has its addresses
// and resources.
type GatewaySection struct {
	Instance string   `toml:"instance"`  // the platform's name of this instance
	Hall     string   `toml:"hall"`      // the hall of this instance
	Clients  string   `toml:"clients"`   // IP:port that clients use
	Ready    string   `toml:"ready"`     // IP:port of the load balancer's readiness check
	Peers    string   `toml:"peers"`     // IP:port that other gateways use
	Seeds    []string `toml:"seeds"`     // settings "peers" of a few gateways, read for the current state at a start while the store is unavailable
	Metrics  string   `toml:"metrics"`   // IP:port for metrics and state dumps
	Cores    float64  `toml:"cores"`     // processor cores for the process; may be a fraction
	LinkMbps float64  `toml:"link_mbps"` // bandwidth of the instance's network link, in Mbit/s
	MemoryMB int      `toml:"memory_mb"` // memory that the process may use, in MiB
}

// StoreSection has the address of the platform's store.
type StoreSection struct {
	Address string `toml:"address"` // IP:port
}

// BoundsSection has the bounds that operators set.
type BoundsSection struct {
	GraceMS       int     `toml:"grace_ms"`        // ms from the signal to stop to the kill
	GraceS        float64 `toml:"grace_s"`         // the same in s; takes precedence unless 0
	ConfigMS      int     `toml:"config_ms"`       // ms from a change of the operators' table until it is in force at all gateways
	NoticeMS      int     `toml:"notice_ms"`       // ms for which a stopping gateway still accepts work, at most a third of the grace
	DrainMS       int     `toml:"drain_ms"`        // ms for which a target that leaves still gets streams that only it can continue, 0 for none
	RetryRatio    float64 `toml:"retry_ratio"`     // maximum of retries, as a fraction of requests, 0 to 1
	RetryWindowMS int     `toml:"retry_window_ms"` // ms of the window in which requests and retries are counted
	RetryWindowS  float64 `toml:"retry_window_s"`  // the same in s; takes precedence unless 0
	RetrySlack    float64 `toml:"retry_slack"`     // retries of the whole fleet in one window beyond the ratio
	ColdOver      float64 `toml:"cold_over"`       // maximum rate of a cold target, as a multiple of its service's cold rate, from 1
	ColdSlack     float64 `toml:"cold_slack"`      // requests per second of a cold target beyond that rate
	ExposeShare   float64 `toml:"expose_share"`    // fraction of a service's requests that a possibly faulty version may get, 0 to 1
}

// OverloadSection selects what a gateway does about overload.
type OverloadSection struct {
	// Admission selects whether requests are refused that the stage pools can't serve in time:
	// on, log (decisions are only logged and counted) or off.
	Admission string `toml:"admission"`
	// LateLast puts requests that can't meet their latency objective behind all others.
	LateLast bool `toml:"late_last"`
}

// DefaultGateway returns the defaults of all keys that have one; the other keys must be
// set.
func DefaultGateway() Gateway {
	return Gateway{
		Gateway:  GatewaySection{Cores: 1, LinkMbps: 1000, MemoryMB: defaultMemoryMB},
		Bounds:   BoundsSection{ConfigMS: 5000, GraceMS: 8000, NoticeMS: 2600, RetryRatio: 0.1, RetryWindowMS: 10000, RetrySlack: 10, ColdOver: 1, ExposeShare: 0.1},
		Overload: OverloadSection{Admission: "off"},
		Log:      LogSection{Level: "info"},
	}
}

// Validate returns all invalid values.
func (s *Gateway) Validate() []InvalidValue {
	c := &checker{}
	c.name("gateway.instance", s.Gateway.Instance)
	c.name("gateway.hall", s.Gateway.Hall)
	c.address("gateway.clients", s.Gateway.Clients)
	c.address("gateway.ready", s.Gateway.Ready)
	c.address("gateway.peers", s.Gateway.Peers)
	for _, a := range s.Gateway.Seeds {
		c.address("gateway.seeds", a)
	}
	c.address("gateway.metrics", s.Gateway.Metrics)
	c.positive("gateway.cores", s.Gateway.Cores)
	c.positive("gateway.link_mbps", s.Gateway.LinkMbps)
	c.inRange("gateway.memory_mb", s.Gateway.MemoryMB, minMemoryMB, maxMemoryMB)
	c.address("store.address", s.Store.Address)
	c.inRange("bounds.config_ms", s.Bounds.ConfigMS, 100, 600000)
	c.inRange("bounds.grace_ms", s.Bounds.GraceMS, 100, 600000)
	c.seconds("bounds.grace_s", s.Bounds.GraceS)
	c.inRange("bounds.notice_ms", s.Bounds.NoticeMS, 0, 600000)
	c.inRange("bounds.drain_ms", s.Bounds.DrainMS, 0, 600000)
	c.seconds("bounds.retry_window_s", s.Bounds.RetryWindowS)
	c.inRange("bounds.retry_window_ms", s.Bounds.RetryWindowMS, 100, 600000)
	c.share("bounds.retry_ratio", s.Bounds.RetryRatio)
	if s.Bounds.RetrySlack < 0 {
		c.add("bounds.retry_slack", "%v is out of range; it must be 0 or more", s.Bounds.RetrySlack)
	}
	if s.Bounds.ColdOver < 1 {
		c.add("bounds.cold_over", "%v is out of range; it must be 1 or more", s.Bounds.ColdOver)
	}
	if s.Bounds.ColdSlack < 0 {
		c.add("bounds.cold_slack", "%v is out of range; it must be 0 or more", s.Bounds.ColdSlack)
	}
	c.share("bounds.expose_share", s.Bounds.ExposeShare)
	c.oneOf("overload.admission", s.Overload.Admission, "on", "log", "off")
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	return c.invalid
}

// share requires a fraction from 0 to 1.
func (c *checker) share(key string, v float64) {
	if v < 0 || v > 1 {
		c.add(key, "%v is out of range; it must be 0 to 1", v)
	}
}

// seconds requires 0 or a number of seconds from 0.1 to 600.
func (c *checker) seconds(key string, v float64) {
	if v != 0 && !(v >= 0.1 && v <= 600) {
		c.add(key, "%v is out of range; it must be 0.1 to 600", v)
	}
}

// positive requires a number greater than 0.
func (c *checker) positive(key string, v float64) {
	if v <= 0 {
		c.add(key, "%v is out of range; it must be more than 0", v)
	}
}

// Grace returns the time from the signal to stop to the kill.
func (b BoundsSection) Grace() time.Duration { return secondsOr(b.GraceS, b.GraceMS) }

// RetryWindow returns the window in which requests and retries are counted.
func (b BoundsSection) RetryWindow() time.Duration { return secondsOr(b.RetryWindowS, b.RetryWindowMS) }

// Notice returns how long a stopping gateway still accepts work. Most of the grace is left for that
// work to end.
func (b BoundsSection) Notice() time.Duration {
	const maxShareOfGrace = 3
	return min(time.Duration(b.NoticeMS)*time.Millisecond, b.Grace()/maxShareOfGrace)
}

// secondsOr returns a time given in seconds, or the one in milliseconds if that is 0.
func secondsOr(seconds float64, milliseconds int) time.Duration {
	if seconds != 0 {
		return time.Duration(seconds * float64(time.Second))
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// RelativeCapacity returns how much of the fleet's shared work the instance can do, relative to
// others, in cores: the smaller of its cores and of the cores that its link can feed.
func (p GatewaySection) RelativeCapacity() float64 {
	const mbpsPerCore = 100 // with more bandwidth per core, the link is no limit
	return min(p.Cores, p.LinkMbps/mbpsPerCore)
}
