package entry

import (
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/clientlimit"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/settings"
	"github.com/currantthread/currantthread/upstream"
)

const (
	callerReadHeaderTimeout = 10 * time.Second
	callerIdleTimeout       = 2 * time.Minute
	// callerWriteTimeout bounds a response that sets no write deadline, such as a refusal. It also replaces the deadline
	// left by the previous request on the connection. Forwarded and stored responses set a shorter deadline.
	callerWriteTimeout = 2 * time.Hour
	adminGrace         = 2 * time.Second
	readyPollInterval  = 20 * time.Millisecond
)

// Options configure what the bootstrap file of a daemon does not. Zero fields take defaults.
type Options struct {
	// Settings returns the active settings. By default every key has its default value.
	Settings func() settings.Effective
	// AwaitSettings returns when the settings are available; the daemon is not ready before. Nil means at once.
	AwaitSettings func(ctx context.Context) error
	// LogOutput receives log lines; the default is standard error.
	LogOutput io.Writer
	// Observe is called for each finished request, for service-level reports.
	Observe func(Observation)
	// Table, Objects and VMs replace the clients of the addresses in the bootstrap file.
	Table   infra.Table
	Objects infra.Objects
	VMs     infra.VMList
	// Dial opens connections to upstreams; the default dials TCP.
	Dial upstream.DialFunc
	// Registry registers the metrics; the default is a new registry.
	Registry *prometheus.Registry
	// Seed is the seed of random choices; 0 means a random seed.
	Seed uint64
}

// Daemon is an entry daemon. Routes may be added to Admin before Run.
type Daemon struct {
	Bootstrap *settings.Bootstrap
	Log       *logrus.Entry
	Registry  *prometheus.Registry
	Health    *observe.Health
	// Admin serves metrics and health checks on the admin address.
	Admin   *echo.Echo
	Table   infra.Table
	Objects infra.Objects
	VMs     infra.VMList
	Server  *Server

	options Options
}

// NewDaemon returns a daemon. It does not listen until Run or Serve is called.
func NewDaemon(b *settings.Bootstrap, options Options) (*Daemon, error) {
	if b.CallerAddr == "" {
		return nil, errors.New("caller_addr is missing; entry daemons need it")
	}
	if options.Settings == nil {
		defaults := settings.Defaults()
		options.Settings = func() settings.Effective { return defaults }
	}
	if options.LogOutput == nil {
		options.LogOutput = os.Stderr
	}
	if options.Registry == nil {
		options.Registry = observe.NewRegistry()
	}
	options.setDefaultClients(b)
	d := &Daemon{
		Bootstrap: b,
		Log:       observe.NewLogger(options.LogOutput, "currantthread-entry", b.VM),
		Registry:  options.Registry,
		Health:    &observe.Health{},
		Table:     options.Table,
		Objects:   options.Objects,
		VMs:       options.VMs,
		options:   options,
	}
	d.Admin = observe.NewAdmin(d.Registry, d.Health)
	d.Server = New(Config{
		VM: b.VM, Region: b.Region, Domain: b.Domain,
		Settings: options.Settings,
		Table:    d.Table,
		VMs:      d.VMs,
		Log:      d.Log,
		Registry: d.Registry,
		Observe:  options.Observe,
		Dial:     options.Dial,
		Seed:     options.Seed,
		Budget:   clientlimit.BudgetOf(b.MemoryMB, b.MaxFDs),
	})
	return d, nil
}

func (o *Options) setDefaultClients(b *settings.Bootstrap) {
	timeout := b.Platform.Timeout.D()
	if o.Table == nil {
		o.Table = infra.NewTableClient(b.Platform.TableURL, b.Domain, timeout)
	}
	if o.Objects == nil {
		o.Objects = infra.NewObjectsClient(b.Platform.ObjectsURL, b.Domain, timeout)
	}
	if o.VMs == nil {
		o.VMs = infra.NewVMListClient(b.Platform.VMListURL, b.Domain, timeout)
	}
}

// Run serves until ctx ends, then shuts down gracefully. The error is nil if all requests in flight finished in time.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.Bootstrap.CallerAddr)
	if err != nil {
		return errors.Annotate(err, "caller_addr")
	}
	admin, err := net.Listen("tcp", d.Bootstrap.AdminAddr)
	if err != nil {
		_ = callers.Close()
		return errors.Annotate(err, "admin_addr")
	}
	return d.Serve(ctx, callers, admin)
}

// Serve is like Run with listeners that are already open.
func (d *Daemon) Serve(ctx context.Context, callers, admin net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { d.Server.Run(background) })
	adminFailed := make(chan error, 1)
	group.Go(func() { adminFailed <- observe.Serve(background, admin, d.Admin, adminGrace) })

	server := NewCallerServer(d.Server)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(d.Server.CallerListener(callers)) }()
	d.Log.WithField("addr", callers.Addr().String()).Info("accepting requests")

	ready, cancelReady := context.WithCancel(ctx)
	group.Go(func() { d.becomeReady(ready) })
	var err error
	select {
	case err = <-failed:
		err = errors.Annotate(err, "serve callers")
	case err = <-adminFailed:
		err = errors.Annotate(err, "serve the admin address")
	case <-ctx.Done():
	}
	cancelReady()
	if err == nil {
		err = d.shutdown(background, server)
	}
	stop()
	group.Wait()
	d.Log.Info("stopped")
	return err
}

// maxHeaderBytes is the largest allowed value of entry.max_header in bytes, and the limit for net/http. The active
// value may change while the server runs, so it is checked for each request.
const maxHeaderBytes = 1 << 20

// NewCallerServer returns the HTTP server for callers of s. It serves listeners wrapped by s.CallerListener.
func NewCallerServer(s *Server) *http.Server {
	return &http.Server{
		Handler:        s.Handler(),
		WriteTimeout:   callerWriteTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    connContext,
		ConnState:      connState,
	}
}

// becomeReady sets the daemon ready when the settings and the first VM list are available.
func (d *Daemon) becomeReady(ctx context.Context) {
	if d.options.AwaitSettings != nil {
		if err := d.options.AwaitSettings(ctx); err != nil {
			return
		}
	}
	for !d.Server.HasVMList() {
		if !wait.For(ctx, readyPollInterval) {
			return
		}
	}
	if ctx.Err() == nil {
		d.Health.SetReady(true)
		d.Log.Info("ready")
	}
}

// shutdown fails readiness, waits until the load balancer has reacted, then stops accepting and finishes the requests
// in flight.
func (d *Daemon) shutdown(ctx context.Context, server *http.Server) error {
	entry := d.options.Settings().Entry
	d.Log.WithField("lag", entry.BalancerLag.String()).Info("shutting down")
	d.Health.SetReady(false)
	d.Server.SetClosing()
	wait.For(ctx, entry.BalancerLag.D())
	grace, cancel := context.WithTimeout(ctx, entry.ShutdownGrace.D())
	defer cancel()
	err := server.Shutdown(grace)
	if stderrors.Is(err, context.DeadlineExceeded) {
		_ = server.Close()
		return errors.Annotatef(err, "requests were still in flight after %s", entry.ShutdownGrace)
	}
	return errors.Annotate(err, "shut down")
}
