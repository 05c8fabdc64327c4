package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/innerproto/innerprotoconnect"
)

const (
	innerIdleConnections = 4
	innerIdleTimeout     = 30 * time.Second
)

// Dialer creates and caches one client for inner messages per address. It is safe for concurrent use.
type Dialer struct {
	client *http.Client

	mu      sync.Mutex // guards clients
	clients map[string]*innerClient
}

// NewDialer returns a dialer. Its clients have no timeout, so callers must set a deadline for each call.
func NewDialer() *Dialer {
	transport := &http.Transport{MaxIdleConnsPerHost: innerIdleConnections, IdleConnTimeout: innerIdleTimeout}
	return &Dialer{client: &http.Client{Transport: transport}, clients: map[string]*innerClient{}}
}

// innerClient is a client of both inner services of a daemon.
type innerClient struct {
	innerprotoconnect.PeerServiceClient
	cells innerprotoconnect.CellServiceClient
}

// Poke implements DaemonClient.
func (c *innerClient) Poke(ctx context.Context, req *innerproto.PokeRequest) (*innerproto.PokeResponse, error) {
	return c.cells.Poke(ctx, req)
}

// Handover notifies the sched daemon that the ownership row of a cell names it.
func (c *innerClient) Handover(ctx context.Context, req *innerproto.HandoverRequest) (*innerproto.HandoverResponse, error) {
	return c.cells.Handover(ctx, req)
}

func (d *Dialer) dial(addr string) *innerClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.clients[addr]; ok {
		return c
	}
	url := "http://" + addr
	c := &innerClient{
		PeerServiceClient: innerprotoconnect.NewPeerServiceClient(d.client, url),
		cells:             innerprotoconnect.NewCellServiceClient(d.client, url),
	}
	d.clients[addr] = c
	return c
}

// Daemon returns a client of the daemon at an inner address.
func (d *Dialer) Daemon(addr string) DaemonClient { return d.dial(addr) }

// Peer returns a client of the entry daemon of a VM, which distributes settings.
func (d *Dialer) Peer(vm infra.VM) PeerClient { return d.dial(vm.Addr) }

// Cells returns a client of the cell service of the sched daemon at an inner address.
func (d *Dialer) Cells(addr string) innerprotoconnect.CellServiceClient { return d.dial(addr).cells }

// PeerHandler serves the inner service that every daemon provides.
type PeerHandler struct {
	Follower *Follower
	// DescribeStatus returns the daemon's status without the settings version, which the handler adds.
	DescribeStatus func(*innerproto.StatusRequest) *innerproto.StatusResponse
	// OnDomain handles an announcement and reports whether it is active; nil on entry daemons.
	OnDomain func(context.Context, *innerproto.AnnounceDomainRequest) bool
}

// Mount registers the handler with a mux.
func (h *PeerHandler) Mount(mux *http.ServeMux) {
	mux.Handle(innerprotoconnect.NewPeerServiceHandler(h))
}

// FetchSettings implements innerprotoconnect.PeerServiceHandler.
func (h *PeerHandler) FetchSettings(ctx context.Context, req *innerproto.FetchSettingsRequest) (*innerproto.FetchSettingsResponse, error) {
	return h.Follower.FetchSettings(ctx, req)
}

// Status implements innerprotoconnect.PeerServiceHandler.
func (h *PeerHandler) Status(_ context.Context, req *innerproto.StatusRequest) (*innerproto.StatusResponse, error) {
	status := h.DescribeStatus(req)
	_, status.SettingsVersion = h.Follower.Current()
	return status, nil
}

// AnnounceDomain implements innerprotoconnect.PeerServiceHandler.
func (h *PeerHandler) AnnounceDomain(ctx context.Context, req *innerproto.AnnounceDomainRequest) (*innerproto.AnnounceDomainResponse, error) {
	if h.OnDomain == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	return &innerproto.AnnounceDomainResponse{InForce: h.OnDomain(ctx, req)}, nil
}
