// Package daemon assembles the entry daemon: the request path, the settings follower, messages between daemons (inner
// messages) and the operators' API.
package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/entry"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/membership"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/settings"
	"github.com/currantthread/currantthread/slo"
	"github.com/currantthread/currantthread/verdict"
)

const (
	name = "entry"
	// innerGrace bounds the wait for inner messages in flight during shutdown. They may be held for up to a second.
	innerGrace = 2 * time.Second
)

// daemon is the entry daemon with the components that other daemons have as well.
type daemon struct {
	boot     *settings.Bootstrap
	log      *logrus.Entry
	dialer   *control.Dialer
	watcher  *membership.Watcher
	follower *control.Follower
	requests *entry.Daemon
	counts   *slo.Recorder
}

// Run runs an entry daemon until ctx ends, then shuts down gracefully. Logs go to out. The error is settings.Problems
// if the bootstrap file lacks an address.
func Run(ctx context.Context, boot *settings.Bootstrap, out io.Writer) error {
	if boot.CallerAddr == "" {
		return settings.Problems{{File: "bootstrap", Key: "caller_addr", Message: "is missing; an entry daemon needs it"}}
	}
	entry.TuneGC(boot.MemoryMB)
	d, err := newDaemon(boot, out)
	if err != nil {
		return err
	}
	inner, err := net.Listen("tcp", boot.InnerAddr)
	if err != nil {
		return errors.Annotate(err, "inner_addr")
	}
	return d.run(ctx, inner)
}

func newDaemon(boot *settings.Bootstrap, out io.Writer) (*daemon, error) {
	d := &daemon{
		boot: boot, log: observe.NewLogger(out, "currantthread-entry", boot.VM), dialer: control.NewDialer(),
		counts: slo.NewRecorder(boot.VM),
	}
	timeout := boot.Platform.Timeout.D()
	table := infra.NewTableClient(boot.Platform.TableURL, boot.Domain, timeout)
	objects := infra.NewObjectsClient(boot.Platform.ObjectsURL, boot.Domain, timeout)
	d.watcher = membership.NewWatcher(infra.NewVMListClient(boot.Platform.VMListURL, boot.Domain, timeout),
		func() time.Duration { return d.follower.Effective().Entry.VMListInterval.D() })
	registry := observe.NewRegistry()
	store := control.NewStore(table, objects, "api/"+boot.VM)
	d.follower = control.NewFollower(control.FollowerConfig{
		VM: boot.VM, Region: boot.Region, Domain: boot.Domain, Relay: true,
		Store:   store,
		Entries: func() []infra.VM { return d.watcher.Entries(boot.Domain) },
		Dial:    d.dialer.Peer, Log: d.log, Registry: registry,
	})
	d.follower.Subscribe(d.setObjectives)
	var err error
	d.requests, err = entry.NewDaemon(boot, entry.Options{
		Settings: d.follower.Effective, AwaitSettings: d.awaitSettings, LogOutput: out,
		Table: table, Objects: objects, VMs: d.watcher, Registry: registry, Observe: d.record,
	})
	if err != nil {
		return nil, err
	}
	control.NewAPI(control.APIConfig{
		Store: store, Table: table,
		VMs: d.watcher.VMs, Dial: d.dialer.Daemon, Log: d.log, Registry: registry,
	}).Register(d.requests.Admin.Group("/api/v1"))
	return d, nil
}

func (d *daemon) run(ctx context.Context, inner net.Listener) error {
	// Settings updates and inner messages continue while requests in flight finish.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return observe.Serve(background, inner, d.innerHandler(), innerGrace) })
	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	context.AfterFunc(background, stopServing)
	group.Go(func() error {
		defer stop()
		return d.requests.Run(serving)
	})
	return group.Wait()
}

// awaitSettings returns when the active settings version is known, and starts following changes.
func (d *daemon) awaitSettings(ctx context.Context) error {
	if !d.follower.AwaitStart(ctx) {
		return ctx.Err()
	}
	go d.follower.Run(ctx)
	return nil
}

func (d *daemon) innerHandler() http.Handler {
	mux := http.NewServeMux()
	peers := &control.PeerHandler{Follower: d.follower, DescribeStatus: d.describe}
	peers.Mount(mux)
	return mux
}

// setObjectives updates the objectives of the burn report from the settings.
func (d *daemon) setObjectives(effective settings.Effective) {
	for name, service := range effective.Services {
		d.counts.SetObjective(name, slo.Objective{
			Latency:  service.ObjectiveLatency.D(),
			Permille: service.ObjectivePermille,
			Window:   time.Duration(service.ObjectiveWindowDay) * day,
		})
	}
}

const day = 24 * time.Hour

// record counts a finished request for the burn report. Requests refused for invalid input are not counted, because
// they do not reflect the quality of the service.
func (d *daemon) record(o entry.Observation) {
	if o.Verdict == verdict.NotRun && o.Status >= http.StatusBadRequest && o.Status < http.StatusInternalServerError &&
		o.Status != http.StatusTooManyRequests {
		return
	}
	d.counts.Record(slo.Event{
		Service: o.Service, Domain: o.Domain, Upstream: o.Upstream, Verdict: o.Verdict,
		Failed: o.Status == 0 || o.Status >= http.StatusInternalServerError, Latency: o.Latency,
	})
}

func (d *daemon) describe(req *innerproto.StatusRequest) *innerproto.StatusResponse {
	status := &innerproto.StatusResponse{Vm: d.boot.VM, Daemon: name, Domain: d.boot.Domain}
	if !req.SloCounts {
		return status
	}
	counts, err := json.Marshal(d.counts.Export())
	if err != nil {
		d.log.WithError(err).Error("service-level counts cannot be encoded")
	}
	status.SloCounts = counts
	return status
}
