package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/fairshare"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/innerproto/innerprotoconnect"
	"github.com/currantthread/currantthread/intake"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

const (
	// peerTimeout bounds a call to the owner of a cell. It covers the commit in flight and the next one on a slow store,
	// and two trips between regions.
	peerTimeout = 2200 * time.Millisecond
	// peerConnectTimeout bounds connecting to a peer; the longest round trip is 40 ms.
	peerConnectTimeout = 400 * time.Millisecond
	// maxPeerConns bounds the connections to one peer. Further calls wait for one of them.
	maxPeerConns = 64
	// submitAttempts bounds the number of cells that a job is offered to once an outcome is unknown.
	submitAttempts = 2
	// maxJobCells bounds the entries of the cache that maps jobs to cells.
	maxJobCells = 20_000
)

// peers holds the clients of other nodes.
type peers struct {
	mu      sync.Mutex // guards clients
	http    *http.Client
	clients map[string]innerprotoconnect.JobServiceClient
}

func newPeers() *peers {
	return &peers{
		http:    &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: peerConnectTimeout}).DialContext, MaxIdleConnsPerHost: 8, MaxConnsPerHost: maxPeerConns, IdleConnTimeout: time.Minute, DisableCompression: true}},
		clients: map[string]innerprotoconnect.JobServiceClient{},
	}
}

func (p *peers) client(addr string) innerprotoconnect.JobServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[addr]
	if client == nil {
		client = innerprotoconnect.NewJobServiceClient(p.http, "http://"+addr)
		p.clients[addr] = client
	}
	return client
}

// Catalog implements intake.Service.
func (n *Node) Catalog() *catalog.Config { return n.catalog.Load() }

// Submit implements intake.Service.
func (n *Node) Submit(ctx context.Context, job *workload.Job) intake.Decision {
	value, err := json.Marshal(job)
	if err != nil {
		return intake.Decision{Outcome: intake.Refused, Reason: err.Error()}
	}
	unknown, full, excess, noMemory := false, 0, false, false
	first := 0                    // the cell that is made to accept the job
	var backlog []ownership.Owner // cells whose best-effort work leaves no time
	targets := n.targets(job)
	for i, target := range targets {
		if excess && !target.Load.HasFree(job) {
			continue
		}
		// The cells after the first two are sorted by load, the least loaded first. If the last of them is full too, the
		// first cell is made to accept the job whatever its capacity is, or the first that is only full if best-effort work leaves
		// no time in others. Long-running jobs are the exception: they would wait for capacity that may not become free for minutes.
		outcome, elsewhere := n.submitTo(ctx, target, job, value, n.storeIsSlow())
		if outcome == dispatch.OutcomeFull && full == 0 && len(backlog) == i {
			first = i
		}
		if outcome == dispatch.OutcomeExcess && i > 0 {
			// The first cell decides, because it gets the job if no cell has capacity.
			outcome = dispatch.OutcomeFull
		}
		isFull := outcome == dispatch.OutcomeFull || outcome == dispatch.OutcomeBacklog && full > 0
		if isFull && i == len(targets)-1 && !job.LongRunning() && !excess {
			target = targets[first]
			outcome, elsewhere = n.submitTo(ctx, target, job, value, true)
		}
		switch outcome {
		case dispatch.OutcomeAccepted:
			n.cacheJobCell(job.ID, target.Load.Cell)
			n.recordSubmitted(target, job)
			return intake.Decision{Outcome: intake.Accepted, Cell: target.Load.Cell}
		case dispatch.OutcomeElsewhere:
			if n.isCell(elsewhere) {
				n.cacheJobCell(job.ID, elsewhere)
			}
			return n.decideRepeated(ctx, job, elsewhere)
		case dispatch.OutcomeConflict:
			return intake.Decision{Outcome: intake.Conflict, Cell: target.Load.Cell, Reason: reasonConflict}
		case dispatch.OutcomeCancelled:
			return intake.Decision{Outcome: intake.Refused, Reason: "the job was cancelled before it was accepted"}
		case dispatch.OutcomeFull:
			full++
		case dispatch.OutcomeExcess:
			excess = true
		case dispatch.OutcomeNoMemory:
			noMemory = true
		case dispatch.OutcomeBacklog:
			backlog = append(backlog, target)
		case dispatch.OutcomeUnknown:
			unknown = true
		case dispatch.OutcomeRefused:
			// The owner did not store the job, for example because its commits fail. The next cell is tried.
		}
		if unknown && i >= submitAttempts-1 || ctx.Err() != nil {
			break
		}
	}
	switch {
	case unknown:
		return intake.Decision{Outcome: intake.Unknown, Reason: "no owner of a cell answered in time"}
	case full > 0 && job.LongRunning():
		return n.countRefused(job, dispatch.RefusedForCapacity, n.refuseFull(ctx, job, targets))
	case excess:
		return n.countRefused(job, dispatch.RefusedForShare, n.refuseExcess(ctx, job, targets[0]))
	case len(backlog) > 0:
		return n.countRefused(job, dispatch.RefusedForBacklog, n.refuseBacklog(ctx, job, backlog))
	case noMemory:
		return n.countRefused(job, dispatch.RefusedUnavailable, n.refuseNoMemory(ctx, job))
	default:
		decision := intake.Decision{Outcome: intake.Refused, Reason: "no cell takes jobs", RetryAfter: refusedRetryAfter}
		return n.countRefused(job, dispatch.RefusedUnavailable, decision)
	}
}

// countRefused counts a decision if it is a refusal and the configuration has organisations.
func (n *Node) countRefused(job *workload.Job, reason string, decision intake.Decision) intake.Decision {
	if config := n.Catalog(); decision.Outcome == intake.Refused && config != nil && len(config.Organisations) > 0 {
		n.metrics.CountRefused(job.Organisation, reason)
	}
	return decision
}

// refusedRetryAfter is when a client may retry after no cell accepted its job: a cell gets a new owner within three
// heartbeats.
const refusedRetryAfter = 1 * time.Second

// reasonConflict explains intake.Conflict. It does not say what is known of the other job.
const reasonConflict = "the id is that of another job"

// decideRepeated decides the submission of a job that a cell has accepted before: of the same job, or of another organisation's.
func (n *Node) decideRepeated(ctx context.Context, job *workload.Job, cell string) intake.Decision {
	if job.Organisation == "" {
		return intake.Decision{Outcome: intake.Accepted, Cell: cell}
	}
	_, found, err := n.stateIn(ctx, cell, job.ID, job.Organisation)
	switch {
	case errors.Is(err, errOtherOrganisation):
		return intake.Decision{Outcome: intake.Conflict, Cell: cell, Reason: reasonConflict}
	case err != nil:
		return intake.Decision{Outcome: intake.Unknown, Reason: err.Error()}
	case !found:
		// The read is older than the job, or the job was removed meanwhile.
		return intake.Decision{Outcome: intake.Unknown, Reason: "the job's row can't be read yet"}
	}
	return intake.Decision{Outcome: intake.Accepted, Cell: cell}
}

// refuseUnlessAccepted refuses a job with a decision, unless an earlier submission of the same job was accepted.
func (n *Node) refuseUnlessAccepted(ctx context.Context, job *workload.Job, refusal intake.Decision) intake.Decision {
	cell, err := n.findCell(ctx, job.ID)
	switch {
	case err != nil:
		return intake.Decision{Outcome: intake.Unknown, Reason: err.Error()}
	case cell != "":
		return n.decideRepeated(ctx, job, cell)
	}
	return refusal
}

// refuseFull refuses a job for which no cell has capacity.
func (n *Node) refuseFull(ctx context.Context, job *workload.Job, targets []ownership.Owner) intake.Decision {
	demand := dispatch.LongRunningDemand(job)
	retryAfter := targets[0].Load.CapacityWait(demand)
	for _, target := range targets[1:] {
		retryAfter = min(retryAfter, target.Load.CapacityWait(demand))
	}
	return n.refuseUnlessAccepted(ctx, job, intake.Decision{Outcome: intake.Refused, Reason: "no cell has room for the job's lasting tasks",
		RetryAfter: retryAfter})
}

// refuseExcess refuses a job whose organisation sends more than the runners can do for it.
func (n *Node) refuseExcess(ctx context.Context, job *workload.Job, target ownership.Owner) intake.Decision {
	wait := time.Duration(target.Load.ExcessMs[job.Organisation]) * time.Millisecond
	if c := n.localCell(target.Load.Cell); c != nil {
		wait = c.Excess(job.Organisation)
	}
	return n.refuseUnlessAccepted(ctx, job, intake.Decision{Outcome: intake.Refused,
		Reason:     "the organisation's waiting jobs take all of its share until this one has no value any more",
		RetryAfter: fairshare.RetryAfter(wait, job.Organisation, job.ID)})
}

// refuseBacklog refuses a job for which the best-effort work of no cell leaves time. The cells are those that said so. A report from before the
// first refusal has no time.
func (n *Node) refuseBacklog(ctx context.Context, job *workload.Job, cells []ownership.Owner) intake.Decision {
	wait := time.Duration(0)
	for _, target := range cells {
		other := time.Duration(target.Load.BestEffortWaitMs) * time.Millisecond
		if c := n.localCell(target.Load.Cell); c != nil {
			other = c.BestEffortWait()
		}
		if other > 0 && (wait == 0 || other < wait) {
			wait = other
		}
	}
	return n.refuseUnlessAccepted(ctx, job, intake.Decision{Outcome: intake.Refused, Reason: "the best-effort work that waits leaves no time for the job",
		RetryAfter: fairshare.RetryAfter(wait, job.Organisation, job.ID)})
}

// noMemoryRetryAfter is when the first clients may retry after no owner had memory for their jobs: other jobs have to end first.
const noMemoryRetryAfter = 5 * time.Second

// refuseNoMemory refuses a job for which no owner of a cell has memory.
func (n *Node) refuseNoMemory(ctx context.Context, job *workload.Job) intake.Decision {
	return n.refuseUnlessAccepted(ctx, job, intake.Decision{Outcome: intake.Refused, Reason: "no owner of a cell has memory for the job",
		RetryAfter: fairshare.RetryAfter(noMemoryRetryAfter, job.Organisation, job.ID)})
}

// targets returns the owners of cells in the order in which a job is offered to them.
func (n *Node) targets(job *workload.Job) []ownership.Owner {
	owners := n.directory.Owners(time.Now())
	n.mu.Lock()
	knownCell := n.jobCells[job.ID]
	for name, c := range n.cells {
		if o, ok := owners[name]; ok && !c.HasLostOwnership() {
			o.Load = c.Load()
			owners[name] = o
		}
	}
	for name, o := range owners {
		if n.cells[name] == nil {
			o.Load.Add(n.submittedWork[name].since(o.Version))
			owners[name] = o
		}
	}
	n.mu.Unlock()
	margin := homeMargin
	if n.storeIsSlow() {
		margin = math.Inf(1)
	}
	list := sortTargets(job.ID, knownCell, homeCell(job.ID, int(n.cellCount.Load())), margin, owners)
	if job.LongRunning() && !n.storeIsSlow() {
		sortByLongRunningCapacity(list, job, knownCell)
	}
	return list
}

// sortByLongRunningCapacity sorts the owners of cells for a long-running job: the cell that is known to have it, then the emptier
// of two cells that the job's ID selects among those that report enough capacity, then the others by capacity. Reports
// are a second old, so nodes that all chose the emptiest cell would fill it with one crowd (power of two choices, Mitzenmacher
// 2001).
func sortByLongRunningCapacity(list []ownership.Owner, job *workload.Job, knownCell string) {
	share := func(l *dispatch.Load) float64 { return float64(l.LongRunningCapacity) / float64(max(l.Capacity, 1)) }
	sort.SliceStable(list, func(a, b int) bool {
		x, y := &list[a].Load, &list[b].Load
		if kx, ky := x.Cell == knownCell, y.Cell == knownCell; kx != ky {
			return kx
		}
		return share(x) > share(y)
	})
	if len(list) == 0 || list[0].Load.Cell == knownCell {
		return
	}
	demand := dispatch.LongRunningDemand(job)
	fitting := 0
	for fitting < len(list) && list[fitting].Load.LongRunningCapacity >= demand {
		fitting++
	}
	// The list is sorted, so the first of the two in it is the emptier one.
	chosen := emptierOfTwo(job.ID, list[:fitting])
	if chosen > 0 {
		owner := list[chosen]
		copy(list[1:chosen+1], list[:chosen])
		list[0] = owner
	}
}

// emptierOfTwo returns the index of the emptier of the two cells that a job's ID selects in a list that begins with the emptiest one, or 0
// if there are fewer than two.
func emptierOfTwo(jobID string, list []ownership.Owner) int {
	if len(list) < 2 {
		return 0
	}
	first, second := -1, -1
	var least, next uint64
	for i := range list {
		switch h := cellHash(jobID, list[i].Load.Cell); {
		case first < 0 || h < least:
			second, next = first, least
			first, least = i, h
		case second < 0 || h < next:
			second, next = i, h
		}
	}
	return min(first, second)
}

// slowCommit is the commit time above which the store counts as slow; a commit normally takes up to 50 ms from another
// region. While the store is slow, jobs stay in their home cells because commits across several partitions would wait
// for each other.
const slowCommit = 200 * time.Millisecond

func (n *Node) storeIsSlow() bool { return time.Duration(n.commitLatency.Load()) > slowCommit }

// homeMargin is how much more load a job's home cell may have than another cell before the other cell gets the job, in
// units of dispatch.Load.Pressure: seconds of backlog plus the committed share of the capacity. Another cell needs a
// transaction across two partitions, which takes twice as long.
const homeMargin = 0.05

// sortTargets sorts the owners of cells for a job: the cell that is known to have it, then the less loaded one of its
// home cell and another cell, chosen by a hash of the job, then the others. Cells without runners come last when the
// first two are chosen, except the known one. It does not simply prefer the least loaded cell: loads are up to a second
// old, so all nodes would choose the same one.
func sortTargets(jobID, knownCell, home string, margin float64, owners map[string]ownership.Owner) []ownership.Owner {
	list := make([]ownership.Owner, 0, len(owners))
	for _, o := range owners {
		list = append(list, o)
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if kx, ky := x.Load.Cell == knownCell, y.Load.Cell == knownCell; kx != ky {
			return kx
		}
		if bx, by := x.Load.Runners > 0, y.Load.Runners > 0; bx != by {
			return bx
		}
		if hx, hy := x.Load.Cell == home, y.Load.Cell == home; hx != hy {
			return hx
		}
		return cellHash(jobID, x.Load.Cell) < cellHash(jobID, y.Load.Cell)
	})
	if len(list) > 1 && list[0].Load.Cell != knownCell && list[1].Load.Runners > 0 {
		if list[0].Load.Cell != home {
			margin = 0
		}
		if list[1].Load.Pressure()+margin < list[0].Load.Pressure() {
			list[0], list[1] = list[1], list[0]
		}
	}
	if len(list) > 2 {
		rest := list[2:]
		sort.Slice(rest, func(a, b int) bool { return rest[a].Load.Pressure() < rest[b].Load.Pressure() })
	}
	return list
}

func (n *Node) submitTo(ctx context.Context, target ownership.Owner, job *workload.Job, value []byte, force bool) (dispatch.Outcome, string) {
	if c := n.localCell(target.Load.Cell); c != nil {
		return c.Submit(ctx, job, force)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	res, err := n.peers.client(target.Addr).Submit(ctx, &innerproto.SubmitRequest{Cell: target.Load.Cell, Job: value, Force: force})
	if err != nil {
		n.requestLog.Warn(logrus.Fields{"request": job.ID, "peer": target.Node, "error": err.Error()}, "submission to the cell's owner failed")
		switch {
		case neverSent(err):
			return dispatch.OutcomeNotOwner, ""
		case connect.CodeOf(err) == connect.CodeResourceExhausted:
			return dispatch.OutcomeNoMemory, ""
		}
		return dispatch.OutcomeUnknown, ""
	}
	return dispatch.Outcome(res.Outcome), res.Cell
}

// neverSent reports whether a call had no effect because no connection to the peer could be opened.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// submittedWork is the demand that this node submitted to a cell since the owner last reported its load.
type submittedWork struct {
	version int64
	demand  dispatch.Demand
}

func (s submittedWork) since(version int64) dispatch.Demand {
	if s.version != version {
		return dispatch.Demand{}
	}
	return s.demand
}

func (n *Node) recordSubmitted(target ownership.Owner, job *workload.Job) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := submittedWork{version: target.Version, demand: n.submittedWork[target.Load.Cell].since(target.Version)}
	s.demand.Add(job)
	n.submittedWork[target.Load.Cell] = s
}

func (n *Node) localCell(name string) *dispatch.Cell {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cells[name]
}

func (n *Node) cacheJobCell(jobID, cell string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.jobCells) >= maxJobCells {
		clear(n.jobCells)
	}
	n.jobCells[jobID] = cell
}

// errNoResponse means that neither the owner of the job's cell nor the store could be reached.
var errNoResponse = errors.New("neither the owner of the job's cell nor the store answers")

// freshStore returns the store for reads that tell a client that a job does not exist. They fail if they are older than this node's last
// heartbeat.
func (n *Node) freshStore() store.Store {
	return store.NewFreshReads(n.store, n.heartbeatVersion.Load())
}

// findCell returns the cell of a job, or "" if no job with the ID has been accepted.
func (n *Node) findCell(ctx context.Context, jobID string) (string, error) {
	n.mu.Lock()
	cell := n.jobCells[jobID]
	n.mu.Unlock()
	if cell != "" {
		return cell, nil
	}
	if n.cellCount.Load() == 0 {
		// The partition of the index row depends on the number of cells.
		return "", errNoResponse
	}
	page, err := n.freshStore().Range(ctx, dispatch.TableIndex, n.indexPart(jobID), jobID, jobID+"\x00", 1)
	if err != nil {
		return "", errors.Join(errNoResponse, err)
	}
	i := slices.IndexFunc(page.Rows, func(row store.Row) bool { return row.Key.Name == jobID })
	if i < 0 || dispatch.IsCancelled(page.Rows[i].Value) {
		return "", nil
	}
	return n.indexedCell(jobID, string(page.Rows[i].Value))
}

// indexedCell checks and caches the cell that the index row of a job names.
func (n *Node) indexedCell(jobID, cell string) (string, error) {
	if !n.isCell(cell) {
		// The job was accepted, so it must not look like one that does not exist.
		return "", fmt.Errorf("index row of job %s names the cell %.50q, which does not exist", jobID, cell)
	}
	n.cacheJobCell(jobID, cell)
	return cell, nil
}

// findOrCancel returns the cell of a job, or "" if no job with the ID has been accepted. Then the job is cancelled, and it will not be accepted
// later either, unless another organisation submits it: a submission of it may still be under way.
func (n *Node) findOrCancel(ctx context.Context, jobID, organisation string) (string, error) {
	cell, err := n.findCell(ctx, jobID)
	if cell != "" || err != nil && !errors.Is(err, store.ErrOldRead) {
		return cell, err
	}
	cell, err = dispatch.CancelUnaccepted(ctx, n.store, n.indexPart(jobID), jobID, organisation)
	if err != nil {
		return "", errors.Join(errNoResponse, err)
	}
	if cell == "" {
		n.requestLog.Info(logrus.Fields{"request": jobID}, "job that has not been accepted is cancelled")
		return "", nil
	}
	return n.indexedCell(jobID, cell)
}

// State implements intake.Service.
func (n *Node) State(ctx context.Context, jobID, organisation string) (workload.State, bool, error) {
	cell, err := n.findCell(ctx, jobID)
	if err != nil || cell == "" {
		return "", false, err
	}
	state, found, err := n.stateIn(ctx, cell, jobID, organisation)
	if errors.Is(err, errOtherOrganisation) {
		return "", false, nil
	}
	return state, found, err
}

// errOtherOrganisation means that a job belongs to another organisation than the caller's.
var errOtherOrganisation = errors.New("the job belongs to another organisation")

// stateIn returns the state of a job of a cell, by the cell's owner or, if it does not know the job, by the store. It returns
// errOtherOrganisation if the job belongs to another organisation than the given one.
func (n *Node) stateIn(ctx context.Context, cell, jobID, organisation string) (workload.State, bool, error) {
	state, owning, found := n.stateByOwner(ctx, cell, jobID)
	if found {
		return state, true, checkOrganisation(owning, organisation)
	}
	return n.storedState(ctx, cell, jobID, organisation)
}

// storedState is stateIn by the store alone.
func (n *Node) storedState(ctx context.Context, cell, jobID, organisation string) (workload.State, bool, error) {
	state, found, err := dispatch.StoredState(ctx, n.freshStore(), n.cellPart(cell), jobID)
	if err != nil {
		return "", false, errors.Join(errNoResponse, err)
	}
	if !found || organisation == "" {
		return state, found, nil
	}
	owning, found, err := dispatch.StoredOrganisation(ctx, n.freshStore(), n.cellPart(cell), jobID)
	if err != nil {
		return "", false, errors.Join(errNoResponse, err)
	}
	return state, found, checkOrganisation(owning, organisation)
}

// checkOrganisation returns errOtherOrganisation unless a caller's organisation may act on a job of an organisation.
func checkOrganisation(owning, organisation string) error {
	job := workload.Job{Organisation: owning}
	if !job.BelongsTo(organisation) {
		return errOtherOrganisation
	}
	return nil
}

// stateByOwner returns the state of a job and its organisation by the owner of its cell. found is false if the owner does not know the
// job or can't be reached.
func (n *Node) stateByOwner(ctx context.Context, cell, jobID string) (state workload.State, organisation string, found bool) {
	if c := n.localCell(cell); c != nil && !c.HasLostOwnership() {
		return ownedState(c, jobID)
	}
	owner, ok := n.directory.Owners(time.Now())[cell]
	if !ok || owner.Node == n.settings.Node {
		return "", "", false
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	callCtx, call := connect.NewClientContext(callCtx)
	res, err := n.peers.client(owner.Addr).JobState(callCtx, &innerproto.JobStateRequest{Cell: cell, Job: jobID})
	if err != nil || !res.Owner || !res.Found {
		return "", "", false
	}
	organisation, err = organisationIn(call.ResponseHeader())
	return workload.State(res.State), organisation, err == nil
}

func ownedState(c *dispatch.Cell, jobID string) (state workload.State, organisation string, found bool) {
	state, found = c.State(jobID)
	if !found {
		return "", "", false
	}
	// The job may have been removed meanwhile. Without its organisation it must not look like a job that has none.
	organisation, found = c.Organisation(jobID)
	return state, organisation, found
}

// headerOrganisation is the header with the name of an organisation in calls of JobService: of the caller in requests, of the job in
// responses. It is absent if there is none. Names may have any characters, so they are encoded as binary headers are.
const headerOrganisation = "Organisation-Bin"

func setOrganisation(header http.Header, organisation string) {
	if organisation != "" {
		header.Set(headerOrganisation, connect.EncodeBinaryHeader([]byte(organisation)))
	}
}

func organisationIn(header http.Header) (string, error) {
	name, err := connect.DecodeBinaryHeader(header.Get(headerOrganisation))
	return string(name), err
}

// Cancel implements intake.Service.
func (n *Node) Cancel(ctx context.Context, jobID, organisation string) (bool, error) {
	cell, err := n.findOrCancel(ctx, jobID, organisation)
	if err != nil || cell == "" {
		return false, err
	}
	if c := n.localCell(cell); c != nil {
		found, err := c.CancelFor(ctx, jobID, organisation)
		return n.checkCancelled(ctx, cell, jobID, organisation, found, err)
	}
	owner, ok := n.directory.Owners(time.Now())[cell]
	if !ok {
		return true, errNoResponse
	}
	callCtx, call := connect.NewClientContext(ctx)
	setOrganisation(call.RequestHeader(), organisation)
	res, err := n.peers.client(owner.Addr).CancelJob(callCtx, &innerproto.CancelJobRequest{Cell: cell, Job: jobID})
	if err != nil {
		return true, err
	}
	if !res.Done {
		return true, errNoResponse
	}
	return n.checkCancelled(ctx, cell, jobID, organisation, res.Found, nil)
}

// checkCancelled checks the result of a cancellation by the owner of the job's cell. A job that the owner does not have but the
// store does is not known to be cancelled: its rows can't be decoded, or it is being removed after its end. A job of another organisation counts
// as not found.
func (n *Node) checkCancelled(ctx context.Context, cell, jobID, organisation string, found bool, err error) (bool, error) {
	if found || err != nil {
		return found, err
	}
	state, stored, err := n.storedState(ctx, cell, jobID, organisation)
	switch {
	case errors.Is(err, errOtherOrganisation):
		return false, nil
	case err != nil:
		return true, err
	case stored && !state.Terminal():
		return true, fmt.Errorf("cell %s can't cancel stored job %s", cell, jobID)
	}
	return stored, nil
}

// Pending implements intake.Service.
func (n *Node) Pending(queue string) (count int, known bool) {
	// The jobs of a cell without an owner are still waiting, so the last reported load of such a cell counts.
	loads := n.directory.LastLoads()
	n.mu.Lock()
	for name, c := range n.cells {
		if !c.HasLostOwnership() {
			loads[name] = c.Load()
		}
	}
	n.mu.Unlock()
	return countPending(queue, n.cellNames(), loads)
}

// countPending adds up the waiting jobs of a queue in all cells; known is false if the load of a cell is missing.
func countPending(queue string, cells []string, loads map[string]dispatch.Load) (count int, known bool) {
	for _, cell := range cells {
		load, ok := loads[cell]
		if !ok {
			return 0, false
		}
		count += load.Pending[queue]
	}
	return count, len(cells) > 0
}

// innerHandler returns the handler for requests of other nodes.
func (n *Node) innerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(innerprotoconnect.NewJobServiceHandler(&jobService{node: n}))
	mux.Handle(innerprotoconnect.NewRelayServiceHandler(&relayService{node: n}))
	return n.chargeSubmissions(mux)
}

// messageCopies is how many times a submitted job is held while it is received and decoded, about.
const messageCopies = 3

// chargeSubmissions charges the jobs that other nodes submit before they are read. A job that exceeds the budget is refused with
// connect.CodeResourceExhausted. Other requests of nodes do not depend on what their clients send.
func (n *Node) chargeSubmissions(next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == innerprotoconnect.JobServiceSubmitProcedure {
			release, err := n.peerLimiter.Charge(messageCopies * max(r.ContentLength, 0))
			if err != nil {
				_ = errorWriter.Write(w, r, connect.NewError(connect.CodeResourceExhausted, err)) // the peer may be gone
				return
			}
			defer release()
		}
		next.ServeHTTP(w, r)
	})
}

// jobService serves requests of other nodes about jobs of this node's cells.
type jobService struct{ node *Node }

// Submit implements innerprotoconnect.JobServiceHandler.
func (s *jobService) Submit(ctx context.Context, req *innerproto.SubmitRequest) (*innerproto.SubmitResponse, error) {
	var job workload.Job
	if err := json.Unmarshal(req.Job, &job); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := job.Validate(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	job.CompactDependencies()
	c := s.node.localCell(req.Cell)
	if c == nil {
		return &innerproto.SubmitResponse{Outcome: uint32(dispatch.OutcomeNotOwner)}, nil
	}
	outcome, cell := c.Submit(ctx, &job, req.Force)
	return &innerproto.SubmitResponse{Outcome: uint32(outcome), Cell: cell}, nil
}

// JobState implements innerprotoconnect.JobServiceHandler.
func (s *jobService) JobState(ctx context.Context, req *innerproto.JobStateRequest) (*innerproto.JobStateResponse, error) {
	c := s.node.localCell(req.Cell)
	if c == nil || c.HasLostOwnership() {
		return &innerproto.JobStateResponse{}, nil
	}
	state, organisation, found := ownedState(c, req.Job)
	if call, ok := connect.CallInfoForHandlerContext(ctx); ok {
		setOrganisation(call.ResponseHeader(), organisation)
	}
	return &innerproto.JobStateResponse{Owner: true, Found: found, State: string(state)}, nil
}

// CancelJob implements innerprotoconnect.JobServiceHandler.
func (s *jobService) CancelJob(ctx context.Context, req *innerproto.CancelJobRequest) (*innerproto.CancelJobResponse, error) {
	c := s.node.localCell(req.Cell)
	if c == nil {
		return &innerproto.CancelJobResponse{}, nil
	}
	organisation := ""
	if call, ok := connect.CallInfoForHandlerContext(ctx); ok {
		var err error
		if organisation, err = organisationIn(call.RequestHeader()); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	found, err := c.CancelFor(ctx, req.Job, organisation)
	if err != nil {
		return &innerproto.CancelJobResponse{Found: found}, nil //nolint:nilerr // Done is false in the response
	}
	return &innerproto.CancelJobResponse{Done: true, Found: found}, nil
}

// cellHash returns a sort key that orders cells differently for each job, so that equally loaded cells get equal shares.
func cellHash(jobID, cell string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(jobID + "/" + cell)) // a hash never fails
	return h.Sum64()
}
