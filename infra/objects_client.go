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
// timeout the longest time of one call.
func NewObjectsClient(baseURL, domain string, timeout time.Duration) Objects {
	return &objectsClient{client: newClient(domain, timeout), base: baseURL}
}

// Put implements Objects. Errors are *UnavailableError and *UnknownOutcomeError; both may be answered by a repeat.
func (o *objectsClient) Put(ctx context.Context, key string, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	answer, err := o.client.do(ctx, call{method: http.MethodPut, url: o.url(key), body: data})
	if err != nil {
		return writeError(err)
	}
	if answer.status != http.StatusOK {
		return writeError(answer.errorBody())
	}
	return nil
}

// Get implements Objects. Errors other than ErrNotFound are *UnavailableError.
func (o *objectsClient) Get(ctx context.Context, key string) ([]byte, error) {
	answer, err := o.client.do(ctx, call{method: http.MethodGet, url: o.url(key)})
	if err != nil {
		return nil, &UnavailableError{Err: err}
	}
	if answer.status == http.StatusOK {
		return answer.body, nil
	}
	stated := answer.errorBody()
	if stated.Code == CodeNotFound {
		return nil, ErrNotFound
	}
	return nil, &UnavailableError{Err: stated}
}

// url keeps the slashes of key, so that an object's place in the store is readable in its URL.
func (o *objectsClient) url(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return joinURL(o.base, PathObjects+strings.Join(parts, "/"))
}
