// Package node assembles one node of the system. A node follows the operators' configuration and service discovery,
// acquires cells and runs them, and serves clients' requests from its own cells or by calling the nodes that own the
// other cells.
package node

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/clientlimit"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/clock"
	"github.com/currantthread/currantthread/internal/memory"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/quota"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
)

const (
	// discoverySpacing is the pause between two reads of service discovery. Runners must get no tasks 2.5 s after they
	// announced that they drain.
	discoverySpacing = 1200 * time.Millisecond
	// leaseShare is the granted lease as a share of the longest possible lease; see docs/design.md.
	leaseShare = 0.6
	// shutdownGraceShare is the share of the platform's grace period that open requests get to finish.
	shutdownGraceShare = 0.6
	// rowLogLines and rowLogWindow bound the lines with one message about unusable rows. Another writer may rewrite its rows many times a
	// second.
	rowLogLines  = 5
	rowLogWindow = time.Minute
)

// Node is one process of the system.
type Node struct {
	settingsFile     string
	reload           <-chan os.Signal
	settings         *platform.Settings
	log              *logrus.Entry
	registry         *prometheus.Registry
	store            store.Store
	versions         *store.VersionClock // dates the versions of store
	runners          runner.Client
	advisor          dispatch.Advisor
	suspended        func() time.Duration // as in dispatch.Config
	directory        *ownership.Directory
	incarnation      string
	innerAddr        string
	peers            *peers
	metrics          *dispatch.Metrics
	unusableRows     prometheus.Gauge
	requestLog       *observe.LimitedLog // of what clients' requests cause
	rowLog           *observe.LimitedLog // of unusable rows
	health           observe.Health
	clients          *clientlimit.Limiter     // bounds the connections of clients
	peerLimiter      *clientlimit.PeerLimiter // bounds what other nodes hold
	memoryPool       *memory.Pool             // shared by clients, peerLimiter and jobMemory
	jobMemory        *dispatch.JobMemory      // bounds the memory of the jobs of all cells
	catalog          atomic.Pointer[catalog.Config]
	bounds           atomic.Pointer[platform.Bounds]
	minCommitMs      atomic.Int64      // time of the fastest commit of a heartbeat, in milliseconds; 0 until one succeeded
	commitLatency    atomic.Int64      // commit time of the last heartbeat, a time.Duration
	cellCount        atomic.Int32      // number of cells, 0 until it is known
	isElector        atomic.Bool       // this node determines the number of cells
	heartbeats       *ownership.Reader // used only by the goroutine of heartbeatLoop, like the next five fields
	ownerRows        *ownership.Reader
	followsAll       bool         // this node reads the heartbeats of all nodes
	followsAllUntil  time.Time    // until when it does so at least
	allReadAt        time.Time    // when it last did so
	storeSince       time.Time    // since when all heartbeats were written in time; zero if the last one was not
	heartbeatVersion atomic.Int64 // version of this node's row as last written
	// heartbeatRepeater repeats writes of this node's row.
	heartbeatRepeater store.Repeater
	leaving           atomic.Bool
	listedAsOwner     atomic.Bool // the owners' table may list cells of this node

	operator    *store.Follower
	discovery   *store.Follower
	assignments *store.Follower
	quotas      *store.Follower

	mu        sync.Mutex // guards the fields below
	cells     map[string]*dispatch.Cell
	acquiring map[string]bool
	// acquireAfter is when this node may next acquire a cell whose jobs it could not read, by cell.
	acquireAfter   map[string]time.Time
	evacuated      map[string]bool
	runnerInfos    map[string]runner.Info
	listedRows     map[string]listedRow  // last usable row of each listed runner, by runner ID
	leftRunners    map[string]leftRunner // runners that have left, by runner ID
	unusable       map[string]bool       // rows of service discovery that describe no usable runner, by key
	runnerCells    map[string]string     // cell of each runner, by runner ID
	runnerVersions map[string]int64      // version of the first row that assigned each runner to its cell, by runner ID
	runnerAddrs    map[string]string     // address of each runner when it was assigned to its cell, by runner ID
	rewrite        map[string]string     // values of rows of the roster that must be written again, by name
	ownerless      map[string]time.Time  // when this node first found that the cell has no owner, by cell
	jobCells       map[string]string     // cache of the cells of jobs, by job ID
	// rewriteVersions holds the versions of the rows that rewrite replaces, by name; 0 or none if a row was deleted.
	rewriteVersions map[string]int64
	// endedEpochs holds the last epoch of each cell for which this process, a former owner, sends no more commands.
	endedEpochs map[string]int64
	// seenOwners holds the ownership rows of cells that appear to have no owner.
	seenOwners    map[string]seenOwner
	submittedWork map[string]submittedWork
	// unexplainedAt is when a row of service discovery was last found removed without a drain or silence.
	unexplainedAt time.Time
	// witnesses holds the witnesses of this node's cells.
	witnesses map[string][]dispatch.Witness
	// quotaRows are the limits of organisations by name, with all changes up to quotaVersion, and badQuotaRows are the names of newer rows that
	// can't be decoded.
	quotaRows    map[string]quota.VersionedRow
	quotaVersion int64
	badQuotaRows map[string]bool
	// outages is what this node has promised as a witness.
	outages    outageWitness
	assignWake chan struct{}
	// heartbeatWake makes the node write and read heartbeats at once, and offers receives the cells that their owners hand over.
	heartbeatWake chan struct{}
	offers        chan cellOffer
}

// Run runs a node until ctx ends, then hands its cells over and shuts down. The settings come from file, which is read
// again on each signal from reload and when it changes. Logs go to out.
func Run(ctx context.Context, file string, settings *platform.Settings, reload <-chan os.Signal, out io.Writer) error {
	logs := observe.NewBoundedWriter(out)
	defer func() { _ = logs.Close() }() // Close never fails
	n := newNode(settings, logs)
	n.settingsFile, n.reload = file, reload
	var listeners []net.Listener
	for _, addr := range []string{settings.ClientAddr, settings.ReadyAddr, n.innerAddr, n.metricsAddr()} {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, listener)
	}
	n.log.WithFields(logrus.Fields{"client_addr": settings.ClientAddr, "inner_addr": n.innerAddr,
		"incarnation": n.incarnation, "bootstrap": settings.Bootstrap}).Info("started")
	err := n.run(ctx, listeners)
	n.log.Info("stopped")
	return err
}

func newNode(s *platform.Settings, out io.Writer) *Node {
	services := platform.Connect(s)
	versions := store.NewVersionClock(services.Store, clock.Suspended)
	n := &Node{
		settings: s, log: observe.NewLogger(out, "node", s.Node), registry: observe.NewRegistry(),
		store: versions, versions: versions, runners: services.Runners, suspended: clock.Suspended, directory: ownership.NewDirectory(s.Node),
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		innerAddr:   net.JoinHostPort(s.IP, strconv.Itoa(s.InnerPorts[0])),
		peers:       newPeers(),
		cells:       map[string]*dispatch.Cell{}, acquiring: map[string]bool{}, acquireAfter: map[string]time.Time{},
		evacuated:   map[string]bool{},
		runnerInfos: map[string]runner.Info{}, unusable: map[string]bool{},
		listedRows: map[string]listedRow{}, leftRunners: map[string]leftRunner{},
		runnerCells: map[string]string{}, runnerVersions: map[string]int64{}, runnerAddrs: map[string]string{},
		rewrite: map[string]string{}, rewriteVersions: map[string]int64{}, assignWake: make(chan struct{}, 1),
		ownerless: map[string]time.Time{}, endedEpochs: map[string]int64{},
		seenOwners:    map[string]seenOwner{},
		heartbeatWake: make(chan struct{}, 1), offers: make(chan cellOffer),
		jobCells: map[string]string{}, submittedWork: map[string]submittedWork{},
		witnesses: map[string][]dispatch.Witness{}, outages: newOutageWitness(time.Now()),
		quotaRows: map[string]quota.VersionedRow{}, badQuotaRows: map[string]bool{},
	}
	if services.Advice != nil {
		n.advisor = services.Advice
	}
	n.rowLog = observe.NewLimitedLog(n.log, rowLogLines, rowLogWindow)
	n.requestLog = observe.NewRequestLog(n.log)
	n.heartbeats, n.ownerRows = ownership.NewReader(n.store, ownership.TableNodes), ownership.NewReader(n.store, ownership.TableOwners)
	n.heartbeatRepeater.Delay = ownership.HeartbeatInterval
	n.metrics = dispatch.NewMetrics(n.registry)
	n.clients = clientlimit.New(n.registry, observe.Namespace, n.log)
	n.peerLimiter = clientlimit.NewPeerLimiter(n.registry, observe.Namespace)
	n.memoryPool = memory.NewPool()
	n.clients.Pool, n.peerLimiter.Pool = n.memoryPool, n.memoryPool
	n.jobMemory = newJobMemory(n.registry, n.memoryPool)
	n.applyVMLimits(s)
	n.unusableRows = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "discovery",
		Name: "unusable_rows", Help: "Rows of service discovery that describe no usable runner."})
	n.registry.MustRegister(n.unusableRows)
	n.bounds.Store(&s.Bounds)
	relayed := &relayedStore{Store: n.store, relay: n.relayAddr, peers: func() []string { return n.directory.Peers() }, call: n.callRelay, log: n.log}
	n.operator = store.NewFollower(relayed, platform.TableOperator, n.operatorChanged, n.dependencyLogger("operator's rows"))
	n.discovery = store.NewFollower(n.store, platform.TableServers, n.discoveryChanged, n.dependencyLogger("service discovery"))
	n.discovery.Poll, n.discovery.SpacingNow, n.discovery.Active = true, n.discoveryPause, n.needsRunners
	n.assignments = store.NewFollower(n.store, tableAssignments, n.assignmentsChanged, n.dependencyLogger("roster"))
	n.assignments.Active = n.needsRunners
	n.quotas = store.NewFollower(n.store, quota.Table, func([]store.Row) {}, n.dependencyLogger("limits of organisations"))
	n.quotas.Active = n.needsQuota
	return n
}

// needsRunners reports whether this node needs service discovery and the roster: it owns or acquires cells, or determines the number of
// cells.
func (n *Node) needsRunners() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isElector.Load() || len(n.cells) > 0 || len(n.acquiring) > 0
}

func (n *Node) metricsAddr() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InnerPorts[0]+1))
}

// dependencyLogger returns a function that takes the result of each call to a dependency and logs when the dependency
// becomes unavailable and when it is available again.
func (n *Node) dependencyLogger(name string) func(error) {
	lost := false
	return func(err error) {
		switch {
		case err != nil && !lost:
			lost = true
			n.log.WithField("dependency", name).WithError(err).Warn("dependency lost")
		case err == nil && lost:
			lost = false
			n.log.WithField("dependency", name).Info("dependency regained")
		}
	}
}

func (n *Node) run(ctx context.Context, listeners []net.Listener) error {
	// Servers outlive ctx, so that open requests get responses while cells are handed over.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	grace := time.Duration(float64(n.bounds.Load().Grace) * shutdownGraceShare)
	frontend := platform.NewFrontend(n, n.log, n.registry)
	outer, inner := listeners[:2], listeners[2:]
	for i, handler := range []http.Handler{frontend, platform.NewReadiness(n.health.Ready)} {
		group.Go(func() error { return observe.ServeClients(serving, outer[i], handler, n.clients, grace) })
	}
	group.Go(func() error { return observe.ServePeers(serving, inner[0], n.innerHandler(), n.peerLimiter, grace) })
	group.Go(func() error { return observe.Serve(serving, inner[1], observe.NewAdmin(n.registry, &n.health), grace) })
	group.Go(func() error { n.operator.Run(serving); return nil })
	group.Go(func() error { n.discovery.Run(serving); return nil })
	group.Go(func() error { n.assignments.Run(serving); return nil })
	group.Go(func() error {
		n.heartbeatLoop(ctx, serving)
		return nil
	})
	group.Go(func() error { n.assignLoop(serving); return nil })
	group.Go(func() error { n.quotas.Run(serving); return nil })
	group.Go(func() error { n.quotaLoop(serving); return nil })
	group.Go(func() error { newAllocator(n).run(serving); return nil })
	group.Go(func() error { n.reloadLoop(serving); return nil })
	group.Go(func() error {
		<-ctx.Done()
		n.leave()
		stopServing()
		return nil
	})
	return group.Wait()
}

// leave hands the cells over and publishes that the node is leaving.
func (n *Node) leave() {
	n.leaving.Store(true)
	n.health.SetReady(false)
	n.log.Info("leaving")
	n.mu.Lock()
	cells := make([]*dispatch.Cell, 0, len(n.cells))
	for _, c := range n.cells {
		cells = append(cells, c)
	}
	n.mu.Unlock()
	for _, c := range cells {
		c.Stop()
	}
	for _, c := range cells {
		<-c.Done()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.writeHeartbeat(ctx); err != nil {
		n.log.WithError(err).Warn("could not publish that the node is leaving")
	}
}

func (n *Node) operatorChanged(rows []store.Row) {
	for _, row := range rows {
		switch {
		case row.Key.Name == platform.RowConfig && !row.Deleted:
			n.configChanged(row)
		case strings.HasPrefix(row.Key.Name, platform.PrefixEvacuate):
			n.evacuationChanged(strings.TrimPrefix(row.Key.Name, platform.PrefixEvacuate), !row.Deleted)
		}
	}
}

func (n *Node) configChanged(row store.Row) {
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		n.rowLog.Warn(logrus.Fields{"error": err.Error()}, "configuration rejected; the previous one stays active")
		return
	}
	old := n.catalog.Load()
	if old != nil && old.Version >= config.Version {
		return
	}
	n.catalog.Store(config)
	n.metrics.SetOrganisations(config)
	n.clients.SetLimits(clientlimit.Limits{HeaderBytes: config.Limits.HeaderBytes, HeaderTimeout: config.Limits.HeaderTimeout,
		IdleTimeout: config.Limits.IdleTimeout})
	n.log.WithFields(logrus.Fields{"version": config.Version, "queues": len(config.Queues)}).Info("configuration applied")
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.cells {
		c.SetCatalog(config)
	}
	// Runners of services that are new in the configuration have no cells yet.
	n.wakeAssign()
}

func (n *Node) evacuationChanged(domain string, evacuated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.evacuated[domain] == evacuated {
		// The row was only rewritten.
		return
	}
	domains := map[string]bool{}
	for d := range n.evacuated {
		domains[d] = true
	}
	if evacuated {
		domains[domain] = true
	} else {
		delete(domains, domain)
	}
	n.evacuated = domains
	n.log.WithFields(logrus.Fields{"domain": domain, "out": evacuated}).Info("evacuation of a failure domain changed")
	for _, c := range n.cells {
		c.SetEvacuated(domains)
	}
}

func (n *Node) discoveryChanged(rows []store.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var problems []error
	var removed []store.Row
	for _, row := range rows {
		id := row.Key.Name
		if row.Deleted {
			delete(n.unusable, id)
			removed = append(removed, row)
			n.removeRunner(id)
			continue
		}
		info, err := platform.DecodeRunner(id, row.Value)
		if err != nil {
			// A row of another writer names no runner. Tasks on a runner that was usable before stay supervised by its cell.
			if !n.unusable[id] {
				n.unusable[id] = true
				problems = append(problems, err)
			}
			delete(n.listedRows, id)
			n.removeRunner(id)
			continue
		}
		delete(n.unusable, id)
		n.runnerInfos[id] = info
		n.recordListed(&info, row.Version)
		n.updateCellRunner(info, true)
	}
	n.concludeLeft(removed)
	n.unusableRows.Set(float64(len(n.unusable)))
	n.logUnusable(problems)
	n.wakeAssign()
}

// removeRunner removes a runner that service discovery does not list, or lists with an unusable row. The caller holds mu.
func (n *Node) removeRunner(id string) {
	if info, ok := n.runnerInfos[id]; ok {
		delete(n.runnerInfos, id)
		n.updateCellRunner(info, false)
	}
}

// maxUnusableLogged bounds the rows that are logged one by one after one read of service discovery.
const maxUnusableLogged = 5

// logUnusable logs rows that became unusable. A row that stays unusable is not logged again, however often it is rewritten.
func (n *Node) logUnusable(problems []error) {
	for i, problem := range problems {
		if i == maxUnusableLogged {
			n.log.WithField("rows", len(problems)-i).Warn("more service discovery rows describe no usable runner")
			return
		}
		n.log.WithError(problem).Warn("service discovery row describes no usable runner")
	}
}

// updateCellRunner passes a runner's state in service discovery to its cell, if this node owns it. The caller holds mu.
func (n *Node) updateCellRunner(info runner.Info, present bool) {
	if c := n.cells[n.runnerCells[info.ID]]; c != nil {
		info.Restarted = n.hasRestarted(info)
		c.SetRunner(context.Background(), info, present)
	}
}

// indexPart returns the partition of the index row of a job: that of the job's home cell. A submission to the home cell
// then needs one partition, and the commits of different cells don't wait for each other.
func (n *Node) indexPart(jobID string) string {
	return n.cellPart(homeCell(jobID, int(n.cellCount.Load())))
}

func (n *Node) cellPart(cell string) string {
	if !n.settings.CrossPartition {
		return ""
	}
	return cell
}

func (n *Node) cellConfig(cell string, predecessorDead bool) dispatch.Config {
	b := n.bounds.Load()
	var peers dispatch.Peers
	if n.settings.CrossPartition {
		// Passing a task to another cell needs a condition on a row of its partition.
		peers = &cellPeers{node: n, cell: cell}
	}
	return dispatch.Config{
		Name: cell, Part: n.cellPart(cell), IndexPart: n.indexPart, Node: n.settings.Node, Addr: n.innerAddr,
		Incarnation: n.incarnation, Metrics: n.metrics, Region: n.settings.Region, Regions: n.settings.Regions,
		Cells:     int(n.cellCount.Load()),
		Lease:     time.Duration(float64(b.HoldMax) * leaseShare),
		MaxLease:  b.HoldMax,
		Suspended: n.suspended,
		Retention: b.StatusRetention, Store: n.store, Runners: n.runners, Advisor: n.advisor, Peers: peers, Memory: n.jobMemory, StoreLost: func() { n.handOver(cell) },
		AwaitQuota: true, DemandChanged: n.wakeHeartbeat,
		ConfirmOutage: func(ctx context.Context, w dispatch.Witness, epoch int64) bool {
			return n.askForConfirmation(ctx, w, cell, epoch)
		},
		Witnesses: n.chooseWitnesses(time.Now(), cell), Log: n.log, PredecessorDead: predecessorDead,
	}
}

// heartbeatLoop writes this node's heartbeats, reads those of the other nodes and acquires cells without an owner.
func (n *Node) heartbeatLoop(running, serving context.Context) {
	logResult := n.dependencyLogger("store")
	for {
		started := time.Now()
		err := n.heartbeatOnce(serving, running)
		logResult(err)
		n.updateReadiness()
		select {
		case <-serving.Done():
			return
		case <-n.heartbeatWake:
		case offer := <-n.offers:
			n.takeOffered(running, offer)
		case <-time.After(max(ownership.HeartbeatInterval-time.Since(started), ownership.HeartbeatInterval/4)):
		}
	}
}

func (n *Node) heartbeatOnce(serving, running context.Context) error {
	sent := time.Now()
	heartbeatErr := n.writeHeartbeat(serving)
	n.recordStoreResult(heartbeatErr)
	switch {
	case heartbeatErr != nil || time.Since(sent) > ownership.HeartbeatInterval:
		n.storeSince = time.Time{}
	case n.storeSince.IsZero():
		n.storeSince = sent
	}
	problems, err := n.readHeartbeats(serving)
	n.recordStoreResult(err)
	if err != nil {
		return errors.Join(heartbeatErr, err)
	}
	for _, problem := range problems {
		n.rowLog.Warn(logrus.Fields{"error": problem.Error()}, "could not decode the heartbeat of a node")
	}
	n.checkPredecessors()
	n.updateWitnesses()
	if heartbeatErr == nil && running.Err() == nil {
		n.acquireCells(running)
	}
	return heartbeatErr
}

const (
	// maxChangesRead is the number of changes of heartbeats up to which a node that begins to follow all nodes reads these instead of all rows.
	// While the store is slow, all rows take up to half a minute: one call for each partition.
	maxChangesRead = 500
	// allReadInterval is how often a node that follows owners only reads the heartbeats of all nodes.
	allReadInterval = 30 * time.Second
	// ownerlessTolerance is how long a cell may have no owner until such a node follows all nodes, for followAllFor: the likely
	// next owners may be lost too.
	ownerlessTolerance = 4 * time.Second
	followAllFor       = 30 * time.Second
)

// readHeartbeats reads the heartbeats that this node needs into the directory. It returns the rows' problems.
func (n *Node) readHeartbeats(ctx context.Context) (problems []error, err error) {
	now := time.Now()
	all := n.needsAllHeartbeats(now)
	if all != n.followsAll {
		n.followsAll = all
		if !all || n.directory.ChangesSince(now.Sub(n.allReadAt)) > maxChangesRead {
			n.heartbeats.Reset()
		}
		n.ownerRows.Reset()
		n.log.WithField("all", all).Debug("heartbeats that this node follows changed")
	}
	if !all && now.Sub(n.allReadAt) >= allReadInterval {
		n.heartbeats.Reset()
		all = true
	}
	if !all {
		rows, err := n.ownerRows.Read(ctx, n.heartbeatVersion.Load())
		if err != nil {
			return nil, err
		}
		return n.directory.UpdateOwners(time.Now(), rows), nil
	}
	rows, err := n.heartbeats.Read(ctx, n.heartbeatVersion.Load())
	if err != nil {
		return nil, err
	}
	n.allReadAt = now
	return n.directory.Update(time.Now(), rows), nil
}

// needsAllHeartbeats reports whether this node has to follow the heartbeats of all nodes.
func (n *Node) needsAllHeartbeats(now time.Time) bool {
	cells := int(n.cellCount.Load())
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, since := range n.ownerless {
		if !since.IsZero() && now.Sub(since) > ownerlessTolerance+followDelay(n.settings.Node, n.directory.Size()) {
			n.followsAllUntil = now.Add(followAllFor)
		}
	}
	if cells == 0 {
		return n.isElector.Load()
	}
	return len(n.cells) > 0 || len(n.acquiring) > 0 || now.Before(n.followsAllUntil) || n.directory.FollowsAll(now, cells)
}

// firstFollowers is the number of nodes that follow all nodes as soon as a cell has had no owner for ownerlessTolerance. The number doubles each
// second: when the owners of several cells are lost, and all of 300 nodes begin at once, their reads fill the link between regions, and no
// node acquires the cells.
const firstFollowers = 16

// followDelay returns how much later than the first ones a node begins to follow all nodes.
func followDelay(node string, nodes int) time.Duration {
	// FNV maps names that differ in the last characters only to similar numbers.
	digest := sha256.Sum256([]byte(node))
	position := float64(binary.BigEndian.Uint32(digest[:])) / (1 << 32) * float64(nodes)
	return time.Duration(math.Log2(max(position/firstFollowers, 1)) * float64(time.Second))
}

// writeHeartbeat writes this node's heartbeat row, and repeats the write if it gets no response.
func (n *Node) writeHeartbeat(ctx context.Context) error {
	sent := time.Now()
	defer func() { n.commitLatency.Store(int64(time.Since(sent))) }()
	version, err := store.Repeat(ctx, &n.heartbeatRepeater, 0, n.commitHeartbeat)
	if err == nil {
		n.heartbeatVersion.Store(version)
	}
	return err
}

// commitHeartbeat commits this node's current state if the row has the version that this node knows, or the one that a conflict
// reports. The condition keeps a write that is executed late from replacing a newer one.
func (n *Node) commitHeartbeat(ctx context.Context) (int64, error) {
	key := ownership.HeartbeatKey(n.settings.Node)
	known := n.heartbeatVersion.Load()
	version, err := n.commitHeartbeatAfter(ctx, key, known)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return n.commitHeartbeatAfter(ctx, key, conflict.Row(key).Version)
	}
	return version, err
}

func (n *Node) commitHeartbeatAfter(ctx context.Context, key store.Key, known int64) (int64, error) {
	heartbeat := n.heartbeat()
	value, err := json.Marshal(heartbeat)
	if err != nil {
		return 0, err
	}
	txn := store.Txn{Conditions: []store.Condition{{Key: key, Version: known}}, Writes: []store.Write{{Key: key, Value: value}}}
	owns := len(heartbeat.Cells) > 0
	if owns || n.listedAsOwner.Load() {
		// The last row says that the node has no cells any more. All nodes read these rows, and only owners, which follow all heartbeats, need
		// to know where tasks could be hosted.
		for i := range heartbeat.Cells {
			heartbeat.Cells[i] = heartbeat.Cells[i].WithoutPlaces()
		}
		ownerRow, err := json.Marshal(heartbeat)
		if err != nil {
			return 0, err
		}
		txn.Writes = append(txn.Writes, store.Write{Key: ownership.OwnerRowKey(n.settings.Node), Value: ownerRow})
	}
	if owns {
		n.listedAsOwner.Store(true)
	}
	sent := time.Now()
	version, err := n.store.Commit(ctx, txn)
	if err == nil && !owns {
		n.listedAsOwner.Store(false)
	}
	if err == nil {
		took := time.Since(sent).Milliseconds()
		if old := n.minCommitMs.Load(); old == 0 || took < old {
			n.minCommitMs.Store(max(took, 1))
		}
	}
	return version, err
}

// heartbeat returns this node's current state.
func (n *Node) heartbeat() ownership.Heartbeat {
	heartbeat := ownership.Heartbeat{
		Node: n.settings.Node, Addr: n.innerAddr, Incarnation: n.incarnation, Region: n.settings.Region,
		Leaving: n.leaving.Load(), StoreMs: n.minCommitMs.Load(), CPUShare: n.settings.CPUShare, LinkMbps: n.settings.LinkMbps,
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.cells {
		if !c.HasLostOwnership() {
			heartbeat.Cells = append(heartbeat.Cells, c.LoadWithPlaces())
		}
	}
	heartbeat.Acquiring = slices.Sorted(maps.Keys(n.acquiring))
	heartbeat.Ended = maps.Clone(n.endedEpochs)
	heartbeat.Witness = true
	return heartbeat
}

func (n *Node) updateReadiness() {
	ready := n.catalog.Load() != nil && n.directory.IsFresh(time.Now()) && !n.leaving.Load() &&
		len(n.directory.Owners(time.Now())) > 0
	if ready != n.health.Ready() {
		n.health.SetReady(ready)
		n.log.WithField("ready", ready).Info("readiness changed")
	}
}
