package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// PostJSON sends a control message to the stand-in program. A nil reply discards the response body.
func PostJSON(ctx context.Context, url string, message, reply any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return sendControl(req, reply)
}

// GetJSON reads a control message from the stand-in program.
func GetJSON(ctx context.Context, url string, reply any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Trace(err)
	}
	return sendControl(req, reply)
}

func sendControl(req *http.Request, reply any) error {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if res.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: status %d: %s", req.Method, req.URL, res.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(data, reply), "%s %s", req.Method, req.URL)
}
