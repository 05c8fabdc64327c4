package node

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// runnerHeartbeat is the interval at which the runners of a leavingSite write their entries.
const runnerHeartbeat = 1100 * time.Millisecond

// leavingSite is a node that owns a cell with a job of three tasks, and two runners with room for all of them.
type leavingSite struct {
	t     *testing.T
	rows  *emulator.Store
	fleet *emulator.Fleet
	node  *Node
	log   *lockedBuffer
	cell  *dispatch.Cell
	infos map[string]runner.Info
	// beats ends the writes of each runner's entry.
	beats map[string]context.CancelFunc
	loops sync.WaitGroup
	stop  context.CancelFunc
}

// newLeavingSite starts a node whose settings name an interval of the runners' heartbeats, and which knows of both runners.
func newLeavingSite(t *testing.T, heartbeat time.Duration) *leavingSite {
	t.Helper()
	s := &leavingSite{t: t, rows: emulator.NewStore(), infos: map[string]runner.Info{}, beats: map[string]context.CancelFunc{},
		fleet: emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return time.Hour, false })}
	n, _ := testNode(t, 0)
	n.versions = store.NewVersionClock(s.rows, func() time.Duration { return 0 })
	n.store, n.runners, n.incarnation = n.versions, s.fleet, "a"
	n.bounds.Store(&platform.Bounds{HoldMax: 10 * time.Second, RunnerHeartbeat: heartbeat})
	n.discovery = store.NewFollower(n.store, platform.TableServers, n.discoveryChanged, func(error) {})
	n.discovery.Poll, n.discovery.SpacingNow, n.discovery.Active = true, n.discoveryPause, n.needsRunners
	s.node, s.log = n, &lockedBuffer{}
	n.log = observe.NewLogger(s.log, "node", n.settings.Node)
	var ctx context.Context
	ctx, s.stop = context.WithCancel(t.Context())
	for _, id := range []string{"i-1", "i-2"} {
		info := testRunner(id)
		info.Born = time.Now().UnixMilli()
		s.fleet.Add(info)
		s.list(info)
	}
	s.loops.Go(func() { n.discovery.Run(ctx) })
	time.Sleep(time.Second)
	n.assignmentsChanged([]store.Row{rosterRow(1, rowLayout, "1"), rosterRow(1, "i-1", firstCell), rosterRow(1, "i-2", firstCell)})
	part := n.cellPart(firstCell)
	s.rows.Put(store.Key{Table: dispatch.TableJobs, Part: part, Name: "0000000000000001"},
		[]byte(`{"id":"0000000000000001","occ":1,"policy":{"service":"kioscos"},"steps":[{"n":3,"res":{"CPU":8000,"MemoryMB":1000}}]}`))
	return s
}

// acquire makes the node the owner of the cell, which named an owner that may still send commands unless released is set.
func (s *leavingSite) acquire(released bool) {
	s.t.Helper()
	value := `{"node":"gone","nonce":"x"}`
	if released {
		value = `{"node":"gone","nonce":"x","released":true}`
	}
	s.rows.Put(dispatch.OwnerKey(s.node.cellPart(firstCell)), []byte(value))
	s.take()
}

// take makes the node the owner of the cell.
func (s *leavingSite) take() {
	s.t.Helper()
	s.node.mu.Lock()
	s.node.acquiring[firstCell] = true
	s.node.mu.Unlock()
	s.node.acquire(s.t.Context(), firstCell, false)
	s.cell = s.node.cells[firstCell]
	assert.Assert(s.t, s.cell != nil, s.log.String())
}

// list makes a runner write its entry from now on.
func (s *leavingSite) list(info runner.Info) {
	s.infos[info.ID] = info
	if cancel := s.beats[info.ID]; cancel != nil {
		cancel()
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	s.beats[info.ID] = cancel
	row := serverRow(s.t, 0, info)
	s.rows.Put(row.Key, row.Value)
	s.loops.Go(func() {
		for wait.For(ctx, runnerHeartbeat) {
			s.rows.Put(row.Key, row.Value)
		}
	})
}

// drain makes a runner announce that it drains.
func (s *leavingSite) drain(id string) {
	info := s.infos[id]
	info.Draining = true
	s.list(info)
}

// unlist removes the entry of a runner, which writes it no more.
func (s *leavingSite) unlist(id string) {
	s.beats[id]()
	s.rows.Delete(store.Key{Table: platform.TableServers, Name: id})
}

// close ends the node.
func (s *leavingSite) close() {
	s.stop()
	for _, cancel := range s.beats {
		cancel()
	}
	if s.cell != nil {
		s.cell.Stop()
		<-s.cell.Done()
	}
	s.loops.Wait()
}

// concluded reports whether the node has concluded that a runner has left.
func (s *leavingSite) concluded(id string) bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	_, left := s.node.leftRunners[id]
	return left
}

// The tasks on runners that drained and left waited for their lease of 6.4 s, although service discovery showed that they had left.
func TestTasksOfRunnerThatLeftStartAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeavingSite(t, runnerHeartbeat)
		defer s.close()
		s.acquire(true)
		time.Sleep(20 * time.Second)
		assert.Equal(t, s.fleet.Running("i-1")+s.fleet.Running("i-2"), 3, s.log.String())
		id, other := "i-1", "i-2"
		if s.fleet.Running(id) == 0 {
			id, other = other, id
		}
		s.drain(id)
		time.Sleep(4 * time.Second)
		s.fleet.Crash(id)
		s.unlist(id)
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.fleet.Running(other), 3, s.log.String())
		assert.Equal(t, len(s.fleet.Overlaps()), 0)
		// The next owner need not wait for it either.
		owner, _, err := dispatch.ReadOwner(t.Context(), s.rows, s.node.cellPart(firstCell))
		assert.NilError(t, err)
		assert.DeepEqual(t, owner.Terminated, []string{id})
		// A process that is started later under its ID gets tasks again.
		s.fleet.Restart(id)
		info, _ := s.fleet.Info(id)
		info.Draining = false
		s.list(info)
		time.Sleep(2 * time.Second)
		s.fleet.Crash(other)
		s.unlist(other)
		time.Sleep(15 * time.Second)
		assert.Equal(t, s.fleet.Running(id), 3, s.log.String())
	})
}

// A new owner waited 6.4 to 10.6 s for runners that had drained and left before they responded to it. It must do so while the former owner may
// repeat a start, which the next process under the runner's ID would accept.
func TestNewOwnerDoesNotWaitForRunnerThatLeft(t *testing.T) {
	for name, c := range map[string]struct {
		released bool
		started  int
	}{"predecessor has ended": {true, 3}, "predecessor may send commands": {false, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLeavingSite(t, runnerHeartbeat)
				defer s.close()
				s.drain("i-1")
				time.Sleep(5 * time.Second)
				commitBefore(t, s)
				time.Sleep(runnerHeartbeat)
				// The runner no longer responds when the cell is taken over.
				s.fleet.Crash("i-1")
				s.acquire(c.released)
				time.Sleep(100 * time.Millisecond)
				s.unlist("i-1")
				assert.Equal(t, s.fleet.Running("i-2"), 0)
				time.Sleep(2 * time.Second)
				assert.Equal(t, s.fleet.Running("i-2"), c.started, s.log.String())
				time.Sleep(3 * time.Second)
				assert.Equal(t, s.fleet.Running("i-2"), c.started, s.log.String())
				time.Sleep(6 * time.Second)
				assert.Equal(t, s.fleet.Running("i-2"), 3, s.log.String())
			})
		})
	}
}

// commitBefore commits a row, as the node's heartbeats do.
func commitBefore(t *testing.T, s *leavingSite) {
	t.Helper()
	_, err := s.node.store.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: store.Key{Table: "nodes", Name: "n0"}}}})
	assert.NilError(t, err)
}

// A runner that is cut off from the store and from its owner runs its tasks until its lease has ended. An entry that may have been removed
// for silence, while the store was away or for an unknown reason proves nothing: tasks would run twice.
func TestEntryThatDoesNotProveThatTheRunnerLeft(t *testing.T) {
	for name, c := range map[string]struct {
		heartbeat time.Duration
		remove    func(s *leavingSite, id string)
	}{
		"silence": {runnerHeartbeat, func(s *leavingSite, id string) {
			s.drain(id)
			time.Sleep(2 * time.Second)
			s.beats[id]()
			s.fleet.SetFault(id, emulator.RunnerUnreachable)
			time.Sleep(3 * runnerHeartbeat)
			s.unlist(id)
		}},
		"not draining": {runnerHeartbeat, func(s *leavingSite, id string) {
			s.fleet.SetFault(id, emulator.RunnerUnreachable)
			s.unlist(id)
		}},
		"another entry without a drain is removed": {runnerHeartbeat, func(s *leavingSite, id string) {
			third := testRunner("i-3")
			s.list(third)
			s.drain(id)
			time.Sleep(3 * time.Second)
			s.fleet.SetFault(id, emulator.RunnerUnreachable)
			s.unlist(id)
			s.unlist("i-3")
		}},
		"store refuses meanwhile": {runnerHeartbeat, func(s *leavingSite, id string) {
			s.drain(id)
			time.Sleep(2 * time.Second)
			s.fleet.SetFault(id, emulator.RunnerUnreachable)
			s.rows.SetFault(emulator.StoreRefuses)
			time.Sleep(drainSpacing + 100*time.Millisecond)
			s.unlist(id)
			s.rows.SetFault(emulator.StoreWorks)
		}},
		"unknown interval": {0, func(s *leavingSite, id string) {
			s.drain(id)
			time.Sleep(2 * time.Second)
			s.fleet.SetFault(id, emulator.RunnerUnreachable)
			s.unlist(id)
		}},
		"unknown birth time": {runnerHeartbeat, func(s *leavingSite, id string) {
			info := s.infos[id]
			info.Born = 0
			s.infos[id] = info
			s.drain(id)
			time.Sleep(2 * time.Second)
			s.fleet.SetFault(id, emulator.RunnerUnreachable)
			s.unlist(id)
		}},
		"old reads": {runnerHeartbeat, func(s *leavingSite, id string) {
			s.drain(id)
			time.Sleep(3 * time.Second)
			s.beats[id]()
			s.fleet.SetFault(id, emulator.RunnerUnreachable)
			// The reads show the entry as it was long ago, and that it is missing as late.
			s.rows.SetReadsBehind(2 * time.Second)
			time.Sleep(3 * runnerHeartbeat)
			s.unlist(id)
		}},
		"row that turns bad": {runnerHeartbeat, func(s *leavingSite, id string) {
			s.drain(id)
			time.Sleep(2 * time.Second)
			s.fleet.SetFault(id, emulator.RunnerUnreachable)
			s.beats[id]()
			s.rows.Put(store.Key{Table: platform.TableServers, Name: id}, []byte("{"))
			time.Sleep(drainSpacing + 50*time.Millisecond)
			s.unlist(id)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLeavingSite(t, c.heartbeat)
				defer s.close()
				s.acquire(true)
				time.Sleep(20 * time.Second)
				id := "i-1"
				if s.fleet.Running(id) == 0 {
					id = "i-2"
				}
				c.remove(s, id)
				time.Sleep(3 * time.Second)
				assert.Assert(t, !s.concluded(id), s.log.String())
				assert.Assert(t, !strings.Contains(s.log.String(), "has left"), s.log.String())
				time.Sleep(12 * time.Second)
				assert.Equal(t, len(s.fleet.Overlaps()), 0)
			})
		})
	}
}

// heartbeats commits a row every 0.8 s for a time, as a node that owns no cell does.
func heartbeats(t *testing.T, s *leavingSite, d time.Duration) {
	t.Helper()
	for began := time.Now(); time.Since(began) < d; time.Sleep(800 * time.Millisecond) {
		commitBefore(t, s)
	}
}

// A new owner waited for runners that had drained and left before it read service discovery for the first time. The changes of service
// discovery since then show it, also to a process that has just started.
func TestNewOwnerLearnsWhichRunnersLeftBefore(t *testing.T) {
	for name, pass := range map[string]func(t *testing.T, s *leavingSite, d time.Duration){"node that ran before": heartbeats, "process that has just started": withPeer} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLeavingSite(t, runnerHeartbeat)
				defer s.close()
				time.Sleep(20 * time.Second)
				s.drain("i-1")
				go func() {
					time.Sleep(4500 * time.Millisecond)
					s.fleet.Crash("i-1")
					s.unlist("i-1")
				}()
				pass(t, s, 7*time.Second)
				s.acquire(true)
				time.Sleep(time.Second)
				assert.Equal(t, s.fleet.Running("i-2"), 3, s.log.String())
			})
		})
	}
}

// The changes of service discovery prove nothing about a runner that is cut off, was removed for silence, or has written an entry again.
func TestHistoryThatDoesNotProveThatTheRunnerLeft(t *testing.T) {
	for name, remove := range map[string]func(s *leavingSite){
		"silence": func(s *leavingSite) {
			s.drain("i-1")
			time.Sleep(1500 * time.Millisecond)
			s.beats["i-1"]()
			time.Sleep(3 * runnerHeartbeat)
			s.unlist("i-1")
		},
		"not draining": func(s *leavingSite) {
			time.Sleep(2 * time.Second)
			s.unlist("i-1")
		},
		"another entry without a drain is removed": func(s *leavingSite) {
			s.list(testRunner("i-3"))
			s.drain("i-1")
			time.Sleep(3 * time.Second)
			s.unlist("i-1")
			s.unlist("i-3")
		},
		"drain taken back": func(s *leavingSite) {
			info := s.infos["i-1"]
			s.drain("i-1")
			time.Sleep(3 * time.Second)
			s.list(info)
			time.Sleep(runnerHeartbeat)
			s.unlist("i-1")
		},
		"listed again": func(s *leavingSite) {
			s.drain("i-1")
			time.Sleep(3 * time.Second)
			s.unlist("i-1")
			s.list(s.infos["i-1"])
		},
		"row turns bad": func(s *leavingSite) {
			s.drain("i-1")
			time.Sleep(3 * time.Second)
			s.beats["i-1"]()
			s.rows.Put(store.Key{Table: platform.TableServers, Name: "i-1"}, []byte("{"))
			s.unlist("i-1")
		},
		"store refuses meanwhile": func(s *leavingSite) {
			s.drain("i-1")
			time.Sleep(3 * time.Second)
			s.rows.SetFault(emulator.StoreRefuses)
			_, err := s.node.store.Range(s.t.Context(), "nodes", "", "", "", 0)
			assert.ErrorIs(s.t, err, store.ErrUnavailable)
			s.unlist("i-1")
			s.rows.SetFault(emulator.StoreWorks)
		},
		"history is dropped": func(s *leavingSite) {
			s.drain("i-1")
			time.Sleep(3 * time.Second)
			s.unlist("i-1")
			s.rows.DropHistory()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLeavingSite(t, runnerHeartbeat)
				defer s.close()
				time.Sleep(20 * time.Second)
				s.loops.Go(func() { heartbeats(t, s, 2*time.Second) })
				time.Sleep(time.Second)
				s.fleet.SetFault("i-1", emulator.RunnerUnreachable)
				s.loops.Go(func() {
					for range 10 {
						time.Sleep(400 * time.Millisecond)
						_, _ = s.node.store.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: store.Key{Table: "nodes", Name: "n0"}}}}) // the store may refuse it
					}
				})
				remove(s)
				s.acquire(true)
				time.Sleep(3 * time.Second)
				assert.Assert(t, !s.concluded("i-1"), s.log.String())
				assert.Equal(t, s.fleet.Running("i-2"), 0, s.log.String())
			})
		})
	}
}
