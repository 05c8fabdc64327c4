package infra

import (
	"context"
	"errors"
	"fmt"
	"time"
)

type tableClient struct {
	client *client
	base   string
}

// NewTableClient returns a client of the table service at baseURL. domain is the failure domain of this process and
// timeout the deadline of one call.
func NewTableClient(baseURL, domain string, timeout time.Duration) Table {
	return &tableClient{client: newClient(domain, timeout), base: baseURL}
}

// Read implements Table.
func (t *tableClient) Read(ctx context.Context, keys ...string) ([]Row, error) {
	rows, err := t.fetchRows(ctx, PathTableRead, ReadRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, &UnavailableError{Err: fmt.Errorf("answer has %d rows for %d keys", len(rows), len(keys))}
	}
	for i, key := range keys {
		if rows[i].Key != key {
			return nil, &UnavailableError{Err: fmt.Errorf("answer has row %q for key %q", rows[i].Key, key)}
		}
	}
	return rows, nil
}

// Scan implements Table.
func (t *tableClient) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return t.fetchRows(ctx, PathTableScan, ScanRequest{Prefix: prefix, After: after, Limit: limit})
}

func (t *tableClient) fetchRows(ctx context.Context, path string, message any) ([]Row, error) {
	raw, err := t.client.post(ctx, joinURL(t.base, path), message, false, 0)
	if err != nil {
		return nil, &UnavailableError{Err: err}
	}
	response, err := decode[RowsResponse](raw)
	if err != nil {
		return nil, &UnavailableError{Err: err}
	}
	return response.Rows, nil
}

// Commit implements Table. It sends txn at most once.
func (t *tableClient) Commit(ctx context.Context, txn Txn) (int64, error) {
	raw, err := t.client.post(ctx, joinURL(t.base, PathTableCommit), txn, true, 0)
	if err != nil {
		return 0, classifyWriteError(err)
	}
	response, err := decode[CommitResponse](raw)
	var errBody ErrorBody
	if errors.As(err, &errBody) && errBody.Code == CodeConflict && len(errBody.Conflicts) > 0 {
		return 0, &ConflictError{Keys: errBody.Conflicts}
	}
	if err != nil {
		return 0, classifyWriteError(err)
	}
	if response.Version <= 0 {
		return 0, &UnknownOutcomeError{Err: fmt.Errorf("answer has version %d", response.Version)}
	}
	return response.Version, nil
}
