package infra

import (
	"context"
	"errors"
	"time"
)

type workersClient struct {
	client *client
}

// NewWorkersClient returns a client of workers. domain is the failure domain of this process and timeout the deadline of
// one call.
func NewWorkersClient(domain string, timeout time.Duration) Workers {
	return &workersClient{client: newClient(domain, timeout)}
}

// Attach implements Workers.
func (w *workersClient) Attach(ctx context.Context, addr string, req AttachRequest) (AttachResponse, error) {
	raw, err := w.client.post(ctx, "http://"+addr+PathAttach, req, true, 0)
	if err != nil {
		return AttachResponse{}, classifyWriteError(err)
	}
	response, err := decode[AttachResponse](raw)
	if err != nil {
		return AttachResponse{}, classifyCallError(err)
	}
	return response, nil
}

// classifyCallError converts the error of an attach or a poll to a *StaleEpochError, or else classifies it like that of a
// write.
func classifyCallError(err error) error {
	var errBody ErrorBody
	if errors.As(err, &errBody) && errBody.Code == CodeStaleEpoch {
		return &StaleEpochError{Cell: errBody.Cell, Got: errBody.Got, Want: errBody.Want}
	}
	return classifyWriteError(err)
}
