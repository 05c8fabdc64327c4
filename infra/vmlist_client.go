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

	mu   sync.Mutex // guards the last answer
	etag string
	vms  []VM
}

// NewVMListClient returns a client of the VM list at baseURL. domain is the failure domain of this process and timeout
// the longest time of one call.
func NewVMListClient(baseURL, domain string, timeout time.Duration) VMList {
	return &vmListClient{client: newClient(domain, timeout), base: baseURL}
}

// List implements VMList. Errors are *UnavailableError. The answer must not be changed: while the list stays as it is, the
// server sends no body and the last answer is returned again.
func (l *vmListClient) List(ctx context.Context) ([]VM, error) {
	etag, vms := l.last()
	answer, err := l.client.do(ctx, call{method: http.MethodGet, url: joinURL(l.base, PathVMs), etag: etag})
	if err != nil {
		return nil, &UnavailableError{Err: err}
	}
	if answer.status == http.StatusNotModified && etag != "" {
		return vms, nil
	}
	response, err := decode[VMsResponse](answer)
	if err != nil {
		return nil, &UnavailableError{Err: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.vms = answer.etag, response.VMs
	return response.VMs, nil
}

func (l *vmListClient) last() (etag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.vms
}
