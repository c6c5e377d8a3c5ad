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

// versionWatcher polls the table version of every entry and counts regressions:
// polls at which a ready entry reports an older version than before.
type versionWatcher struct {
	cluster     *cluster
	regressions atomic.Int64
	stopped     chan struct{}
	watchers    sync.WaitGroup
}

// watchVersions starts one polling goroutine per entry. The caller must call stop.
func (c *cluster) watchVersions() *versionWatcher {
	v := &versionWatcher{cluster: c, stopped: make(chan struct{})}
	for _, p := range c.entries {
		v.watchers.Add(1)
		go func() {
			defer v.watchers.Done()
			v.watchEntry(p)
		}()
	}
	return v
}

// watchEntry polls one entry every pollInterval until stop is called.
func (v *versionWatcher) watchEntry(p *process) {
	var last uint64
	for {
		select {
		case <-v.stopped:
			return
		case <-time.After(pollInterval):
		}
		// A process that has just started has no version until it is ready;
		// from then on it must not report an older one.
		if s, err := p.state(); err == nil && s.Ready {
			if s.TableVersion < last {
				v.regressions.Add(1)
			}
			last = s.TableVersion
		}
	}
}

// stop ends all polling and returns the number of regressions.
func (v *versionWatcher) stop() int64 {
	close(v.stopped)
	v.watchers.Wait()
	return v.regressions.Load()
}

// awaitVersion waits until each of the given entries has at least the given table
// version, and returns how long that took. It fails the test after awaitTimeout.
func (c *cluster) awaitVersion(version uint64, processes ...*process) time.Duration {
	c.t.Helper()
	began := time.Now()
	c.await(fmt.Sprintf("version %d", version), func() bool {
		for _, p := range processes {
			s, err := p.state()
			if err != nil || s.TableVersion < version {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

// apply submits edits under an operation ID and returns the version of the table that has
// them. It waits for at most 8 s.
func (c *cluster) apply(id string, edits ...hookhall.Edit) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	outcome, err := c.editor.Apply(ctx, id, edits)
	return outcome.Version, err
}

// TestConfigurationRaces guards against lost updates: a concurrent edit overwrites
// another one of the same cell, or drops one of another cell in the same row.
func TestConfigurationRaces(t *testing.T) {
	Convey("Concurrent edits of operators", t, func() {
		c := newCluster(t, options{})
		Convey("of one cell: one is accepted, the others get a conflict with the current value", func() {
			const editCount = 6
			var wg sync.WaitGroup
			var accepted, conflicts atomic.Int64
			for i := 0; i < editCount; i++ {
				wg.Add(1)
				go func() {
					defer wg.Done()
					_, err := c.apply(fmt.Sprintf("race-%d", i), hookhall.Edit{Sheet: "accounts", Row: "venues", Column: "rate", Value: fmt.Sprint(100 + i)})
					var conflict table.Conflicts
					switch {
					case err == nil:
						accepted.Add(1)
					case errors.As(err, &conflict) && conflict[0].Current != "":
						conflicts.Add(1)
					}
				}()
			}
			wg.Wait()
			So(accepted.Load(), ShouldEqual, 1)
			So(conflicts.Load(), ShouldEqual, editCount-1)
		})
		Convey("of different cells: all are accepted and none is lost", func() {
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

// TestConfigurationFaults guards against an edit that is applied twice, lost or undone
// while the key-value service or an entry fails. Table versions of ready entries must
// never decrease meanwhile.
func TestConfigurationFaults(t *testing.T) {
	Convey("An edit", t, func() {
		c := newCluster(t, options{})
		watcher := c.watchVersions()
		change := func(value string) hookhall.Edit { return forcedEdit("accounts", "venues", "rate", value) }
		Convey("takes effect once when the replies to its writes are lost", func() {
			before, _, err := c.editor.Read(context.Background())
			So(err, ShouldBeNil)
			// The replies to three writes are lost: the chunk's, the root's and, on
			// the retry, the chunk's again.
			c.kv.SetFaults(standin.KeyValueFaults{LoseWriteAnswers: 3})
			v, err := c.apply("lost", change("111"))
			So(err, ShouldBeNil)
			So(v, ShouldEqual, before.Root.Version+1)
			c.awaitVersion(v, c.entries...)
			again, err := c.apply("lost", change("111"))
			So(err, ShouldBeNil)
			So(again, ShouldEqual, v)
		})
		Convey("accepted right before an outage reaches an entry cut off from the service through its peers", func() {
			disconnect(c.entries[2].kvProxy)
			v, err := c.apply("before", change("222"))
			So(err, ShouldBeNil)
			c.kv.SetFaults(standin.KeyValueFaults{Down: true})
			took := c.awaitVersion(v, c.entries...)
			t.Logf("in force on all entries %v after it was accepted, on one entry through its peers only", took)
			c.kv.SetFaults(standin.KeyValueFaults{})
			reconnect(c.entries[2].kvProxy)
		})
		Convey("during an outage fails with ErrUnavailable", func() {
			c.kv.SetFaults(standin.KeyValueFaults{Down: true})
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := c.editor.Apply(ctx, "down", []hookhall.Edit{change("333")})
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			c.kv.SetFaults(standin.KeyValueFaults{})
		})
		Convey("is in force on an entry that restarts during an outage", func() {
			v, err := c.apply("restart", change("444"))
			So(err, ShouldBeNil)
			c.awaitVersion(v, c.entries...)
			c.kv.SetFaults(standin.KeyValueFaults{Down: true})
			c.entries[1].kill()
			c.entries[1].start()
			c.await("readiness through peers", func() bool {
				s, err := c.entries[1].state()
				return err == nil && s.Ready && s.TableVersion == v
			})
			c.kv.SetFaults(standin.KeyValueFaults{})
		})
		Convey("reaches an entry that was frozen when it was accepted", func() {
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
			// From here on every read returns the previous root, which is what an
			// entry reads first when it starts.
			c.kv.SetFaults(standin.KeyValueFaults{StaleReads: 1 << 30})
			c.entries[1].kill()
			c.entries[1].start()
			var firstVersion uint64
			c.await("readiness", func() bool {
				s, err := c.entries[1].state()
				firstVersion = s.TableVersion
				return err == nil && s.Ready
			})
			So(firstVersion, ShouldEqual, v)
			c.kv.SetFaults(standin.KeyValueFaults{})
		})
		So(watcher.stop(), ShouldEqual, 0)
	})
}

// TestConfigurationThroughAdmin guards against an edit that is lost although
// hookhallctl reported it as accepted: the admin process is killed right after the
// report. It also checks that invalid commands are explained and change nothing.
func TestConfigurationThroughAdmin(t *testing.T) {
	Convey("An edit with hookhallctl stays in force when the admin process is killed right after", t, func() {
		c := newCluster(t, options{})
		adminAddress := freePort(c)
		config := filepath.Join(c.dir, "admin.toml")
		c.must(os.WriteFile(config, []byte(fmt.Sprintf("[admin]\nlisten = %q\noperator_token = %q\n[platform]\nkey_value = %q\ninstances = %q\n[fleet]\nsecret = %q\n",
			adminAddress, operatorToken, c.kvAddress, c.listAddress, fleetSecret)), 0o600))
		admin := exec.Command(filepath.Join(binaryDir, "hookhall-admin"), "--config", config)
		c.must(admin.Start())
		defer func() { _ = admin.Process.Kill(); _ = admin.Wait() }()
		runCtl := func(args ...string) (string, error) {
			cmd := exec.Command(filepath.Join(binaryDir, "hookhallctl"), append([]string{"--admin", adminAddress, "--token", operatorToken}, args...)...)
			out, err := cmd.CombinedOutput()
			return string(out), err
		}
		c.await("the admin process to answer", func() bool { _, err := runCtl("status"); return err == nil })
		out, err := runCtl("set", "accounts/venues", "rate=321")
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "accepted as version 2; in force in hall-1, hall-2, hall-3")
		_ = admin.Process.Kill()
		c.awaitVersion(2, c.entries...)
		Convey("and invalid commands are explained and change nothing", func() {
			admin := exec.Command(filepath.Join(binaryDir, "hookhall-admin"), "--config", config)
			c.must(admin.Start())
			defer func() { _ = admin.Process.Kill(); _ = admin.Wait() }()
			c.await("the admin process to answer", func() bool { _, err := runCtl("status"); return err == nil })
			for args, message := range map[string]string{
				"set accounts/venues color=red":    "unknown column",
				"set accounts/venues priority=11":  "a whole number from 0 to 9",
				"set nowhere/venues rate=1":        "unknown sheet",
				"set stages/recap pool=engines":    "PIPELINE/ORDER-STAGE",
				"set accounts/venues rate":         "not COLUMN=VALUE",
				"--token wrong-token get accounts": "token is missing or wrong",
			} {
				out, err := runCtl(strings.Fields(args)...)
				So(err, ShouldNotBeNil)
				So(out, ShouldContainSubstring, message)
			}
			doc, _, err := c.editor.Read(context.Background())
			So(err, ShouldBeNil)
			So(doc.Root.Version, ShouldEqual, 2)
		})
	})
}

// TestConfigurationImport guards against a large import that writes a value larger than the
// key-value service accepts, 1 MiB.
func TestConfigurationImport(t *testing.T) {
	Convey("An import of 8,200 accounts", t, func() {
		c := newCluster(t, options{})
		var edits []hookhall.Edit
		for i := 0; i < 8200; i++ {
			row := fmt.Sprintf("imported-%04d", i)
			edits = append(edits, forcedEdit("accounts", row, "key_sha256", fmt.Sprintf("%064x", i+1)),
				forcedEdit("accounts", row, "priority", fmt.Sprint(i%10)), forcedEdit("accounts", row, "rate", "5"))
		}
		began := time.Now()
		outcome := c.edit(edits)
		accepting := time.Since(began)
		propagation := c.awaitVersion(outcome.Version, c.entries...)
		doc, _, err := c.editor.Read(context.Background())
		So(err, ShouldBeNil)
		largest := len(doc.EncodeRoot())
		for i := 0; i < table.ChunkCount; i++ {
			largest = max(largest, len(doc.Chunk(i)))
		}
		t.Logf("accepted in %v, in force on all entries %v later; largest value %d bytes", accepting, propagation, largest)
		So(largest, ShouldBeLessThan, 1<<20)
		So(len(doc.Rows()), ShouldBeGreaterThan, 8200)
	})
}
