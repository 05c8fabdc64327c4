package infra

import (
	"context"
	"errors"
	"time"
)

type workersClient struct {
	client *client
}

// NewWorkersClient returns a client that calls workers. domain is the failure domain of this process and timeout the
// longest time of one call.
func NewWorkersClient(domain string, timeout time.Duration) Workers {
	return &workersClient{client: newClient(domain, timeout)}
}

// Attach implements Workers.
func (w *workersClient) Attach(ctx context.Context, addr string, req AttachRequest) (AttachResponse, error) {
	answer, err := w.client.post(ctx, "http://"+addr+PathAttach, req, true, 0)
	if err != nil {
		return AttachResponse{}, writeError(err)
	}
	response, err := decode[AttachResponse](answer)
	if err != nil {
		return AttachResponse{}, epochError(err)
	}
	return response, nil
}

// epochError types the error of an attach or a poll.
func epochError(err error) error {
	var stated ErrorBody
	if errors.As(err, &stated) && stated.Code == CodeStaleEpoch {
		return &StaleEpochError{Cell: stated.Cell, Got: stated.Got, Want: stated.Want}
	}
	return writeError(err)
}
