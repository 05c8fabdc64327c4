package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// slowStore delays each call.
type slowStore struct {
	store.Store
	delay atomic.Int64
}

func (s *slowStore) sleep(ctx context.Context) { wait.For(ctx, time.Duration(s.delay.Load())) }

func (s *slowStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	s.sleep(ctx)
	return s.Store.Commit(ctx, txn)
}

func (s *slowStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	s.sleep(ctx)
	return s.Store.Range(ctx, table, part, from, to, limit)
}

func (s *slowStore) Feed(ctx context.Context, table string, after int64, timeout time.Duration) (store.Page, error) {
	s.sleep(ctx)
	return s.Store.Feed(ctx, table, after, timeout)
}

// While the store is slow, a new owner reads the jobs of a large cell for longer than the other nodes wait for it. They take
// the cell from each other before any of them has read it, and no node runs its tasks.
func TestCellIsReadByOneNodeWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 2000
		s := &slowStore{Store: emulator.NewStore()}
		rows := s.Store.(*emulator.Store)
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		nodes := make([]*Node, 3)
		for i := range nodes {
			n, _ := testNode(t, 0)
			settings := *n.settings
			settings.Node = fmt.Sprintf("n%d", i)
			n.settings, n.store, n.runners, n.incarnation = &settings, s, emulator.NewFleet(nil), settings.Node
			n.innerAddr, n.directory, n.heartbeats = settings.Node, ownership.NewDirectory(settings.Node), ownership.NewReader(s)
			nodes[i] = n
			loops.Go(func() { n.heartbeatLoop(ctx, ctx) })
		}
		time.Sleep(5 * time.Second)
		part := nodes[0].cellPart(firstCell)
		for i := range jobs {
			id := fmt.Sprintf("%016x", i)
			rows.Put(store.Key{Table: dispatch.TableJobs, Part: part, Name: id}, []byte(`{"id":"`+id+`","occ":1,"steps":[{"n":1}]}`))
		}
		rows.Put(dispatch.OwnerKey(part), []byte(`{"node":"gone","nonce":"x"}`))
		s.delay.Store(int64(time.Second))
		for _, n := range nodes {
			n.cellCount.Store(1)
		}
		takeovers, previous := 0, ""
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			owner, _, err := dispatch.ReadOwner(t.Context(), rows, part)
			assert.NilError(t, err)
			if owner.Node != previous && previous != "" {
				takeovers++
			}
			previous = owner.Node
		}
		s.delay.Store(0)
		cancel()
		// The cells are released.
		time.Sleep(15 * time.Second)
		assert.Assert(t, takeovers <= 1, "the owner changed %d times in 30 s", takeovers)
	})
}

// A new owner of a cell must not start tasks by what service discovery said long before. Nodes without a cell don't read service
// discovery; the new owner used its last copy until the next read, and started tasks on runners that had been draining for long.
func TestNewOwnerStartsNothingOnRunnerThatDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return time.Second, false })
		n, _ := testNode(t, 0)
		n.store, n.runners, n.incarnation = s, fleet, "a"
		n.bounds.Store(&platform.Bounds{HoldMax: 10 * time.Second})
		n.discovery = store.NewFollower(s, platform.TableServers, n.discoveryChanged, func(error) {})
		n.discovery.Poll, n.discovery.Spacing, n.discovery.Active = true, discoverySpacing, n.needsRunners
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		info := testRunner("i-1")
		fleet.Add(info)
		put := func() {
			row := serverRow(t, 0, info)
			s.Put(row.Key, row.Value)
		}
		put()
		// The node reads service discovery until the number of cells is known.
		loops.Go(func() { n.discovery.Run(ctx) })
		time.Sleep(time.Second)
		n.assignmentsChanged([]store.Row{rosterRow(1, rowLayout, "1"), rosterRow(1, "i-1", firstCell)})
		time.Sleep(5 * time.Second)
		info.Draining = true
		put()
		part := n.cellPart(firstCell)
		s.Put(store.Key{Table: dispatch.TableJobs, Part: part, Name: "0000000000000001"},
			[]byte(`{"id":"0000000000000001","occ":1,"policy":{"service":"kioscos"},"steps":[{"n":1}]}`))
		s.Put(dispatch.OwnerKey(part), []byte(`{"node":"gone","nonce":"x","released":true}`))
		// Further than any bound on the time in which a drain must be known.
		time.Sleep(30*time.Second + 30*time.Millisecond)
		n.mu.Lock()
		n.acquiring[firstCell] = true
		n.mu.Unlock()
		n.acquire(ctx, firstCell)
		time.Sleep(5 * time.Second)
		starts := len(fleet.Starts())
		cancel()
		time.Sleep(10 * time.Second)
		assert.Equal(t, starts, 0, "starts on a runner that drains")
	})
}

// A runner stays in its cell if another writer puts the name of another cell into its row: two owners would command it.
func TestRunnerStaysInItsCellIfItsRowNamesAnother(t *testing.T) {
	n, _ := testNode(t, 2)
	n.assignmentsChanged([]store.Row{rosterRow(1, "i-1", "c1")})
	n.assignmentsChanged([]store.Row{rosterRow(2, "i-1", "c0")})
	assert.Equal(t, n.runnerCells["i-1"], "c1")
}

// A new owner must know all runners that have been given to the cell. It used its copy of the roster, which may be up to 2.2 s old if a
// connection to the store delivers nothing; a task on a runner that was added since then ran a second time.
func TestNewOwnerKnowsRunnersThatWereJustAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return time.Hour, false })
		n, _ := testNode(t, 1)
		n.store, n.runners, n.incarnation = s, fleet, "a"
		n.bounds.Store(&platform.Bounds{HoldMax: 10 * time.Second})
		for _, id := range []string{"i-1", "i-2"} {
			info := testRunner(id)
			fleet.Add(info)
			n.discoveryChanged([]store.Row{serverRow(t, 1, info)})
		}
		// The feed of the roster has delivered the row of i-1, and not yet that of i-2.
		s.Put(store.Key{Table: tableAssignments, Name: "i-1"}, []byte(firstCell))
		s.Put(store.Key{Table: tableAssignments, Name: "i-2"}, []byte(firstCell))
		n.assignmentsChanged([]store.Row{rosterRow(1, "i-1", firstCell)})
		part := n.cellPart(firstCell)
		const id = "0000000000000001"
		s.Put(store.Key{Table: dispatch.TableJobs, Part: part, Name: id},
			[]byte(`{"id":"`+id+`","occ":1,"policy":{"service":"kioscos"},"steps":[{"n":1,"long":true,"max_unavail":-1}]}`))
		s.Put(dispatch.OwnerKey(part), []byte(`{"node":"gone","nonce":"x","released":true}`))
		_, err := fleet.Start(t.Context(), runner.Target{ID: "i-2"}, runner.Start{Task: workload.TaskID{Job: id}, Run: 1, Deadline: time.Minute, Token: 1})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		n.acquire(ctx, firstCell)
		time.Sleep(time.Second)
		n.assignmentsChanged([]store.Row{rosterRow(2, "i-2", firstCell)})
		time.Sleep(time.Second)
		overlaps := len(fleet.Overlaps())
		cancel()
		time.Sleep(10 * time.Second)
		assert.Equal(t, overlaps, 0, "the task runs on two runners")
	})
}

// silentStore is a store whose next commit of a heartbeat gets no response, as on a connection that has gone silent.
type silentStore struct {
	store.Store
	silent atomic.Bool
}

// commitTimeout is how long the client of the platform's store waits for the response to a commit.
const commitTimeout = 2500 * time.Millisecond

func (s *silentStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if len(txn.Writes) > 0 && txn.Writes[0].Key.Table == ownership.TableNodes && s.silent.CompareAndSwap(true, false) {
		wait.For(ctx, commitTimeout)
		return 0, &store.UnknownOutcomeError{Err: context.DeadlineExceeded}
	}
	return s.Store.Commit(ctx, txn)
}

// A node keeps its cells if one connection to the store goes silent. Its heartbeat is written again after 2.5 s, and after 2.4 s
// the other nodes take it for dead.
func TestOwnerWithOneSilentConnectionKeepsItsCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := emulator.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		stores := map[string]*silentStore{}
		for i := range 3 {
			n, _ := testNode(t, 0)
			settings := *n.settings
			settings.Node = fmt.Sprintf("n%d", i)
			s := &silentStore{Store: rows}
			stores[settings.Node] = s
			n.settings, n.store, n.runners, n.incarnation = &settings, s, emulator.NewFleet(nil), settings.Node
			n.innerAddr, n.directory, n.heartbeats = settings.Node, ownership.NewDirectory(settings.Node), ownership.NewReader(s)
			n.cellCount.Store(1)
			loops.Go(func() { n.heartbeatLoop(ctx, ctx) })
		}
		time.Sleep(5 * time.Second)
		before, _, err := dispatch.ReadOwner(t.Context(), rows, firstCell)
		assert.NilError(t, err)
		stores[before.Node].silent.Store(true)
		time.Sleep(5 * time.Second)
		after, _, err := dispatch.ReadOwner(t.Context(), rows, firstCell)
		assert.NilError(t, err)
		cancel()
		time.Sleep(15 * time.Second)
		assert.Equal(t, after.Node, before.Node)
	})
}
