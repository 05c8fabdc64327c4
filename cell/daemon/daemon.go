// Package daemon assembles the sched daemon: it runs the cells of a failure domain, submits scheduled jobs, and serves the
// workers' polls, inner messages between daemons, metrics and health checks.
package daemon

import (
	"context"
	stderrors "errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/currantthread/currantthread/cell"
	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/innerproto/innerprotoconnect"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/membership"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/settings"
)

const (
	// name is the daemon's name in logs and status.
	name = "sched"
	// shutdownGrace bounds the wait for polls and inner messages in flight. Polls are held for up to a second.
	shutdownGrace = 3 * time.Second
	// announceTimeout is the timeout for notifying a successor of a handover.
	announceTimeout = 500 * time.Millisecond
	// vmListPoll is how often a starting daemon checks whether the VM list has been read.
	vmListPoll = 50 * time.Millisecond
)

// daemon is one sched daemon.
type daemon struct {
	boot     *settings.Bootstrap
	log      *logrus.Entry
	registry *prometheus.Registry
	health   observe.Health
	dialer   *control.Dialer
	watcher  *membership.Watcher
	follower *control.Follower
	table    infra.Table
}

// Run runs a sched daemon until ctx ends, then hands its cells over and shuts down. It writes logs to out.
func Run(ctx context.Context, boot *settings.Bootstrap, out io.Writer) error {
	if boot.PollAddr == "" {
		return settings.Problems{{Key: "poll_addr", Message: "is missing; a sched daemon needs it"}}
	}
	d := newDaemon(boot, out)
	listeners, err := listen(boot.PollAddr, boot.InnerAddr, boot.AdminAddr)
	if err != nil {
		return err
	}
	return d.run(ctx, listeners[0], listeners[1], listeners[2])
}

func newDaemon(boot *settings.Bootstrap, out io.Writer) *daemon {
	timeout := boot.Platform.Timeout.D()
	d := &daemon{
		boot: boot, log: observe.NewLogger(out, name, boot.VM), registry: observe.NewRegistry(),
		dialer: control.NewDialer(),
		table:  infra.NewTableClient(boot.Platform.TableURL, boot.Domain, timeout),
	}
	objects := infra.NewObjectsClient(boot.Platform.ObjectsURL, boot.Domain, timeout)
	list := infra.NewVMListClient(boot.Platform.VMListURL, boot.Domain, timeout)
	d.watcher = membership.NewWatcher(list, func() time.Duration {
		return d.follower.Effective().Entry.VMListInterval.D()
	})
	d.follower = control.NewFollower(control.FollowerConfig{
		VM: boot.VM, Region: boot.Region, Domain: boot.Domain,
		Store:   control.NewStore(d.table, objects, "sched/"+boot.VM),
		Entries: func() []infra.VM { return d.watcher.Entries(boot.Domain) },
		Dial:    d.dialer.Peer, Log: d.log, Registry: d.registry,
	})
	return d
}

func listen(addrs ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, addr := range addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			for _, l := range listeners {
				_ = l.Close()
			}
			return nil, errors.Trace(err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func (d *daemon) run(ctx context.Context, poll, inner, admin net.Listener) error {
	// The servers outlive ctx, because workers still poll while the cells are handed over.
	serverCtx, stopServers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServers()
	group, serverCtx := errgroup.WithContext(serverCtx)
	cellsCtx, stopCells := context.WithCancel(ctx)
	defer stopCells()
	context.AfterFunc(serverCtx, stopCells)

	group.Go(func() error {
		return observe.Serve(serverCtx, admin, observe.NewAdmin(d.registry, &d.health), shutdownGrace)
	})
	group.Go(func() error { d.watcher.Run(serverCtx); return nil })
	group.Go(func() error {
		defer stopServers()
		return d.runCells(cellsCtx, serverCtx, group, poll, inner)
	})
	d.log.WithField("poll", d.boot.PollAddr).WithField("inner", d.boot.InnerAddr).
		WithField("admin", d.boot.AdminAddr).Info("started")
	err := group.Wait()
	d.log.Info("stopped")
	return err
}

// runCells waits for the settings and the VM list, starts the servers and runs the cells until ctx ends.
func (d *daemon) runCells(ctx, serverCtx context.Context, group *errgroup.Group, poll, inner net.Listener) error {
	if !d.awaitSettingsAndVMs(ctx) {
		return errors.Trace(stderrors.Join(poll.Close(), inner.Close()))
	}
	node := d.newNode()
	group.Go(func() error { d.follower.Run(serverCtx); return nil })
	group.Go(func() error {
		return observe.Serve(serverCtx, poll, infra.NewPollHandler(node), shutdownGrace)
	})
	group.Go(func() error { return observe.Serve(serverCtx, inner, d.innerHandler(node), shutdownGrace) })
	group.Go(func() error { newSchedules(d).run(serverCtx); return nil })
	d.health.SetReady(true)
	node.Run(ctx)
	d.health.SetReady(false)
	return nil
}

// awaitSettingsAndVMs waits for the active settings and the VM list. The number of cells must be known before a cell is
// acquired, and a restarted VM must not fall back to an earlier version of the settings.
func (d *daemon) awaitSettingsAndVMs(ctx context.Context) bool {
	if !d.follower.AwaitStart(ctx) {
		return false
	}
	for len(d.watcher.VMs()) == 0 {
		if !wait.For(ctx, vmListPoll) {
			return false
		}
	}
	return true
}

func (d *daemon) newNode() *cell.Node {
	return cell.NewNode(cell.NodeConfig{
		VM: d.boot.VM, Region: d.boot.Region, Domain: d.boot.Domain,
		Addr: d.boot.InnerAddr, OwnerURL: "http://" + d.boot.PollAddr,
		Settings: d.follower.Effective, Table: d.table,
		Workers:    infra.NewWorkersClient(d.boot.Domain, d.boot.Platform.Timeout.D()),
		VMs:        d.watcher.VMs,
		NewPlanner: func() cell.Planner { return cell.NewPlanner(d.follower.Effective()) },
		Announce:   d.announce,
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:     d.log, Metrics: cell.NewMetrics(d.registry),
	})
}

func (d *daemon) announce(ctx context.Context, to cell.Successor, name string, epoch int64) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := d.dialer.Cells(to.Addr).Handover(ctx, &innerproto.HandoverRequest{Cell: name, Epoch: epoch})
	return err
}

func (d *daemon) innerHandler(node *cell.Node) http.Handler {
	mux := http.NewServeMux()
	peers := &control.PeerHandler{
		Follower: d.follower,
		DescribeStatus: func(*innerproto.StatusRequest) *innerproto.StatusResponse {
			return describe(d.boot.VM, d.boot.Domain, node.Status())
		},
		OnDomain: func(ctx context.Context, req *innerproto.AnnounceDomainRequest) bool {
			return node.AnnounceDomain(ctx, req.Domain, req.Out)
		},
	}
	peers.Mount(mux)
	mux.Handle(innerprotoconnect.NewCellServiceHandler(&cellService{node: node}))
	return mux
}
