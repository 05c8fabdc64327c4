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

// Dialer makes clients for inner messages. Connections are kept per address. It is safe for concurrent use.
type Dialer struct {
	client *http.Client

	mu      sync.Mutex // guards clients
	clients map[string]*innerClient
}

// NewDialer returns a dialer. Every call needs a deadline of its own.
func NewDialer() *Dialer {
	transport := &http.Transport{MaxIdleConnsPerHost: innerIdleConnections, IdleConnTimeout: innerIdleTimeout}
	return &Dialer{client: &http.Client{Transport: transport}, clients: map[string]*innerClient{}}
}

// innerClient calls both inner services of a daemon.
type innerClient struct {
	innerprotoconnect.PeerServiceClient
	cells innerprotoconnect.CellServiceClient
}

// Poke implements Daemon.
func (c *innerClient) Poke(ctx context.Context, req *innerproto.PokeRequest) (*innerproto.PokeResponse, error) {
	return c.cells.Poke(ctx, req)
}

// Handover tells a sched daemon that it owns a cell.
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

// Daemon returns the daemon at an inner address.
func (d *Dialer) Daemon(addr string) Daemon { return d.dial(addr) }

// Peer returns the entry daemon of a VM, which passes settings on.
func (d *Dialer) Peer(vm infra.VM) Peer { return d.dial(vm.Addr) }

// Cells returns the cell service of the sched daemon at an inner address.
func (d *Dialer) Cells(addr string) innerprotoconnect.CellServiceClient { return d.dial(addr).cells }

// PeerHandler serves the inner messages that every daemon answers.
type PeerHandler struct {
	Follower *Follower
	// DescribeStatus fills in what the daemon knows; the settings version is added.
	DescribeStatus func(*innerproto.StatusRequest) *innerproto.StatusResponse
	// OnDomain is called with each announcement and reports whether it is in force; nil on entry daemons.
	OnDomain func(context.Context, *innerproto.AnnounceDomainRequest) bool
}

// Mount adds the handler to a mux.
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
