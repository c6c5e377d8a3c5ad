// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/state/table"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// versions watches every entry's version, and counts steps back.
type versions struct {
	c     *cluster
	back  atomic.Int64
	done  chan struct{}
	ended sync.WaitGroup
}

func (c *cluster) watchVersions() *versions {
	v := &versions{c: c, done: make(chan struct{})}
	for _, p := range c.entries {
		v.ended.Add(1)
		go func() {
			defer v.ended.Done()
			v.follow(p)
		}()
	}
	return v
}

func (v *versions) follow(p *process) {
	var last uint64
	for {
		select {
		case <-v.done:
			return
		case <-time.After(tick):
		}
		// A process that has just started has no version yet; one that is
		// ready must not show an older one.
		if s, err := p.state(); err == nil && s.Ready {
			if s.TableVersion < last {
				v.back.Add(1)
			}
			last = s.TableVersion
		}
	}
}

func (v *versions) stop() int64 {
	close(v.done)
	v.ended.Wait()
	return v.back.Load()
}

// awaitVersion waits until the running entries have a version, and returns how
// long it took.
func (c *cluster) awaitVersion(version uint64, among ...*process) time.Duration {
	c.t.Helper()
	began := time.Now()
	c.await(fmt.Sprintf("version %d", version), func() bool {
		for _, p := range among {
			s, err := p.state()
			if err != nil || s.TableVersion < version {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

func (c *cluster) apply(id string, edits ...hookhall.Edit) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	out, err := c.editor.Apply(ctx, id, edits)
	return out.Version, err
}

func TestConfigurationRaces(t *testing.T) {
	Convey("Operators who edit at the same moment", t, func() {
		c := newCluster(t, options{})
		Convey("the same cell: one is accepted, the others see a conflict with what it holds", func() {
			const n = 6
			var wg sync.WaitGroup
			var accepted, conflicts atomic.Int64
			for i := 0; i < n; i++ {
				wg.Add(1)
				go func() {
					defer wg.Done()
					_, err := c.apply(fmt.Sprintf("race-%d", i), hookhall.Edit{Sheet: "accounts", Row: "venues", Column: "rate", Value: fmt.Sprint(100 + i)})
					var x table.Conflicts
					switch {
					case err == nil:
						accepted.Add(1)
					case errors.As(err, &x) && x[0].Current != "":
						conflicts.Add(1)
					}
				}()
			}
			wg.Wait()
			So(accepted.Load(), ShouldEqual, 1)
			So(conflicts.Load(), ShouldEqual, n-1)
		})
		Convey("different cells: all are accepted and none is lost", func() {
			columns := map[string]string{"rate": "500", "concurrency": "50", "weight": "3", "priority": "6", "deadline_ms": "900"}
			var wg sync.WaitGroup
			var failed atomic.Int64
			doc, _, err := c.editor.Read(context.Background())
			So(err, ShouldBeNil)
			row, _ := doc.Row("accounts", "partners")
			for column, value := range columns {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if _, err := c.apply("cell-"+column, hookhall.Edit{Sheet: "accounts", Row: "partners", Column: column, Value: value, Base: row.Cells[column]}); err != nil {
						failed.Add(1)
					}
				}()
			}
			wg.Wait()
			So(failed.Load(), ShouldEqual, 0)
			doc, _, err = c.editor.Read(context.Background())
			So(err, ShouldBeNil)
			row, _ = doc.Row("accounts", "partners")
			for column, value := range columns {
				So(row.Cells[column], ShouldEqual, value)
			}
			c.awaitVersion(doc.Root.Version, c.entries...)
		})
	})
}

func TestConfigurationFaults(t *testing.T) {
	Convey("An edit", t, func() {
		c := newCluster(t, options{})
		seen := c.watchVersions()
		change := func(value string) hookhall.Edit { return set("accounts", "venues", "rate", value) }
		Convey("whose answer is lost is in force once", func() {
			before, _, err := c.editor.Read(context.Background())
			So(err, ShouldBeNil)
			// The chunk's answer and the root's are lost, and the chunk's again.
			c.kv.SetFaults(standin.KeyValueFaults{LoseWrites: 3})
			v, err := c.apply("lost", change("111"))
			So(err, ShouldBeNil)
			So(v, ShouldEqual, before.Root.Version+1)
			c.awaitVersion(v, c.entries...)
			again, err := c.apply("lost", change("111"))
			So(err, ShouldBeNil)
			So(again, ShouldEqual, v)
		})
		Convey("accepted right before an outage reaches an entry that the service never told", func() {
			cut(c.entries[2].cutKV)
			v, err := c.apply("before", change("222"))
			So(err, ShouldBeNil)
			c.kv.SetFaults(standin.KeyValueFaults{Down: true})
			took := c.awaitVersion(v, c.entries...)
			t.Logf("in force everywhere %v after it was accepted, one entry by its peers only", took)
			c.kv.SetFaults(standin.KeyValueFaults{})
			heal(c.entries[2].cutKV)
		})
		Convey("during an outage is refused, or its outcome is called open", func() {
			c.kv.SetFaults(standin.KeyValueFaults{Down: true})
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := c.editor.Apply(ctx, "down", []hookhall.Edit{change("333")})
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			c.kv.SetFaults(standin.KeyValueFaults{})
		})
		Convey("is in force on an entry that restarts in an outage", func() {
			v, err := c.apply("restart", change("444"))
			So(err, ShouldBeNil)
			c.awaitVersion(v, c.entries...)
			c.kv.SetFaults(standin.KeyValueFaults{Down: true})
			c.entries[1].kill()
			c.entries[1].start()
			c.await("readiness by peers", func() bool {
				s, err := c.entries[1].state()
				return err == nil && s.Ready && s.TableVersion == v
			})
			c.kv.SetFaults(standin.KeyValueFaults{})
		})
		Convey("reaches an entry that was frozen meanwhile", func() {
			c.entries[0].freeze()
			v, err := c.apply("frozen", change("555"))
			So(err, ShouldBeNil)
			c.entries[0].thaw()
			c.awaitVersion(v, c.entries...)
		})
		Convey("is not undone by stale reads", func() {
			_, err := c.apply("first", change("666"))
			So(err, ShouldBeNil)
			v, err := c.apply("second", change("777"))
			So(err, ShouldBeNil)
			c.awaitVersion(v, c.entries...)
			// From now on every read shows the root before; an entry that starts
			// reads it first.
			c.kv.SetFaults(standin.KeyValueFaults{StaleReads: 1 << 30})
			c.entries[1].kill()
			c.entries[1].start()
			var first uint64
			c.await("readiness", func() bool {
				s, err := c.entries[1].state()
				first = s.TableVersion
				return err == nil && s.Ready
			})
			So(first, ShouldEqual, v)
			c.kv.SetFaults(standin.KeyValueFaults{})
		})
		So(seen.stop(), ShouldEqual, 0)
	})
}

// TestConfigurationByPrograms edits with hookhallctl through an admin that is
// killed right after its "accepted".
func TestConfigurationByPrograms(t *testing.T) {
	Convey("An edit by hookhallctl, whose admin is killed right after", t, func() {
		c := newCluster(t, options{})
		at := freePort(c)
		config := filepath.Join(c.dir, "admin.toml")
		c.must(os.WriteFile(config, []byte(fmt.Sprintf("[admin]\nlisten = %q\noperator_token = %q\n[platform]\nkey_value = %q\ninstances = %q\n[fleet]\nsecret = %q\n",
			at, token, c.kvAt, c.listAt, secret)), 0o600))
		admin := exec.Command(filepath.Join(binaries, "hookhall-admin"), "--config", config)
		c.must(admin.Start())
		defer func() { _ = admin.Process.Kill(); _ = admin.Wait() }()
		ctl := func(args ...string) (string, error) {
			cmd := exec.Command(filepath.Join(binaries, "hookhallctl"), append([]string{"--admin", at, "--token", token}, args...)...)
			out, err := cmd.CombinedOutput()
			return string(out), err
		}
		c.await("the admin", func() bool { _, err := ctl("status"); return err == nil })
		out, err := ctl("set", "accounts/venues", "rate=321")
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "accepted as version 2; in force in hall-1, hall-2, hall-3")
		_ = admin.Process.Kill()
		c.awaitVersion(2, c.entries...)
		Convey("and mistakes are named, with nothing changed", func() {
			admin := exec.Command(filepath.Join(binaries, "hookhall-admin"), "--config", config)
			c.must(admin.Start())
			defer func() { _ = admin.Process.Kill(); _ = admin.Wait() }()
			c.await("the admin", func() bool { _, err := ctl("status"); return err == nil })
			for args, words := range map[string]string{
				"set accounts/venues color=red":    "unknown column",
				"set accounts/venues priority=11":  "a whole number from 0 to 9",
				"set nowhere/venues rate=1":        "unknown sheet",
				"set stages/recap pool=engines":    "PIPELINE/ORDER-STAGE",
				"set accounts/venues rate":         "not COLUMN=VALUE",
				"--token wrong-token get accounts": "token is missing or wrong",
			} {
				out, err := ctl(strings.Fields(args)...)
				So(err, ShouldNotBeNil)
				So(out, ShouldContainSubstring, words)
			}
			doc, _, err := c.editor.Read(context.Background())
			So(err, ShouldBeNil)
			So(doc.Root.Version, ShouldEqual, 2)
		})
	})
}

func TestConfigurationImport(t *testing.T) {
	Convey("An import of 8,200 accounts", t, func() {
		c := newCluster(t, options{})
		var edits []hookhall.Edit
		for i := 0; i < 8200; i++ {
			row := fmt.Sprintf("imported-%04d", i)
			edits = append(edits, set("accounts", row, "key_sha256", fmt.Sprintf("%064x", i+1)),
				set("accounts", row, "priority", fmt.Sprint(i%10)), set("accounts", row, "rate", "5"))
		}
		began := time.Now()
		out := c.edit(edits)
		accepted := time.Since(began)
		took := c.awaitVersion(out.Version, c.entries...)
		doc, _, err := c.editor.Read(context.Background())
		So(err, ShouldBeNil)
		largest := len(doc.EncodeRoot())
		for i := 0; i < table.ChunkCount; i++ {
			largest = max(largest, len(doc.Chunk(i)))
		}
		t.Logf("accepted in %v, everywhere %v later; largest value %d bytes", accepted, took, largest)
		So(largest, ShouldBeLessThan, 1<<20)
		So(len(doc.Rows()), ShouldBeGreaterThan, 8200)
	})
}
