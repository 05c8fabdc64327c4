package infra

import (
	"context"
	"net/http"
	"sync"
	"time"
)

type vmListClient struct {
	client *client
	base   string

	mu   sync.Mutex // guards the cached response
	etag string
	vms  []VM
}

// NewVMListClient returns a client of the VM list at baseURL. domain is the failure domain of this process and timeout
// the deadline of one call.
func NewVMListClient(baseURL, domain string, timeout time.Duration) VMList {
	return &vmListClient{client: newClient(domain, timeout), base: baseURL}
}

// List implements VMList. Errors are *UnavailableError. Callers must not change the returned slice, because List returns
// it again as long as the server reports that the list has not changed.
func (l *vmListClient) List(ctx context.Context) ([]VM, error) {
	etag, vms := l.cached()
	raw, err := l.client.do(ctx, call{method: http.MethodGet, url: joinURL(l.base, PathVMs), etag: etag})
	if err != nil {
		return nil, &UnavailableError{Err: err}
	}
	if raw.status == http.StatusNotModified && etag != "" {
		return vms, nil
	}
	response, err := decode[VMsResponse](raw)
	if err != nil {
		return nil, &UnavailableError{Err: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.vms = raw.etag, response.VMs
	return response.VMs, nil
}

func (l *vmListClient) cached() (etag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.vms
}
