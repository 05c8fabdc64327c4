package infra

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"
)

type objectsClient struct {
	client *client
	base   string
}

// NewObjectsClient returns a client of the object store at baseURL. domain is the failure domain of this process and
// timeout the deadline of one call.
func NewObjectsClient(baseURL, domain string, timeout time.Duration) Objects {
	return &objectsClient{client: newClient(domain, timeout), base: baseURL}
}

// Put implements Objects. Errors are *UnavailableError and *UnknownOutcomeError. After both the call may be repeated.
func (o *objectsClient) Put(ctx context.Context, key string, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	raw, err := o.client.do(ctx, call{method: http.MethodPut, url: o.url(key), body: data})
	if err != nil {
		return classifyWriteError(err)
	}
	if raw.status != http.StatusOK {
		return classifyWriteError(raw.errorBody())
	}
	return nil
}

// Get implements Objects. Errors other than ErrNotFound are *UnavailableError.
func (o *objectsClient) Get(ctx context.Context, key string) ([]byte, error) {
	raw, err := o.client.do(ctx, call{method: http.MethodGet, url: o.url(key)})
	if err != nil {
		return nil, &UnavailableError{Err: err}
	}
	if raw.status == http.StatusOK {
		return raw.body, nil
	}
	errBody := raw.errorBody()
	if errBody.Code == CodeNotFound {
		return nil, ErrNotFound
	}
	return nil, &UnavailableError{Err: errBody}
}

// url returns the URL of an object. It escapes the parts of key but keeps the slashes, so that URLs stay readable.
func (o *objectsClient) url(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return joinURL(o.base, PathObjects+strings.Join(parts, "/"))
}
