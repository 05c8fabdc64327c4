package infra

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// MaxHold is the longest hold time that a poll may request.
const MaxHold = time.Minute

// NewPollHandler returns an HTTP handler that serves PathPoll and passes the polls of workers to server.
func NewPollHandler(server PollServer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathPoll, func(w http.ResponseWriter, r *http.Request) {
		var req PollRequest
		if err := ReadMessage(w, r, &req); err != nil {
			WriteError(w, r, http.StatusBadRequest, ErrorBody{Code: CodeInvalid, Message: err.Error()})
			return
		}
		if err := req.validate(); err != nil {
			WriteError(w, r, http.StatusBadRequest, ErrorBody{Code: CodeInvalid, Message: err.Error()})
			return
		}
		response, err := server.Poll(r.Context(), req)
		if err != nil {
			writePollError(w, r, err)
			return
		}
		WriteMessage(w, r, response)
	})
	return mux
}

func (r PollRequest) validate() error {
	switch {
	case r.Worker == "":
		return errors.New("worker: must not be empty")
	case r.Incarnation == "":
		return errors.New("incarnation: must not be empty")
	case r.Cell == "":
		return errors.New("cell: must not be empty")
	case r.HoldMillis < 0 || r.HoldMillis > MaxHold.Milliseconds():
		return fmt.Errorf("hold_ms: %d is outside 0 to %d", r.HoldMillis, MaxHold.Milliseconds())
	}
	return nil
}

func writePollError(w http.ResponseWriter, r *http.Request, err error) {
	var stale *StaleEpochError
	if errors.As(err, &stale) {
		WriteError(w, r, http.StatusConflict, ErrorBody{
			Code: CodeStaleEpoch, Message: stale.Error(), Cell: stale.Cell, Got: stale.Got, Want: stale.Want,
		})
		return
	}
	WriteError(w, r, http.StatusServiceUnavailable, ErrorBody{Code: CodeUnknown, Message: err.Error()})
}

// ReadMessage decodes the JSON body of a request of the platform's protocols.
func ReadMessage(w http.ResponseWriter, r *http.Request, message any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessageBytes))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if err := json.Unmarshal(body, message); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}

// WriteMessage sends the response to a request of the platform's protocols.
func WriteMessage(w http.ResponseWriter, r *http.Request, message any) {
	writeJSON(w, r, http.StatusOK, message)
}

// WriteError sends an error response to a request of the platform's protocols.
func WriteError(w http.ResponseWriter, r *http.Request, status int, body ErrorBody) {
	writeJSON(w, r, status, body)
}

func writeJSON(w http.ResponseWriter, r *http.Request, status int, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		// Messages hold only strings, numbers, slices and structs of them, which always encode.
		panic(err)
	}
	if id := r.Header.Get(HeaderRequestID); id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails if the client has disconnected. The client treats the response as lost.
	_, _ = w.Write(data)
}

// PollClient polls the owners of cells on behalf of a worker.
type PollClient struct {
	client *client
}

// NewPollClient returns a client for the workers of a failure domain. The deadline of a poll is timeout plus the time for
// which the owner may hold it.
func NewPollClient(domain string, timeout time.Duration) *PollClient {
	return &PollClient{client: newClient(domain, timeout)}
}

// Poll sends one poll to the owner at ownerURL. It returns a *StaleEpochError if the owner has another epoch, and
// *UnavailableError or *UnknownOutcomeError if the call failed. The caller must count the durations in the response from
// the time at which it called Poll, or earlier.
func (p *PollClient) Poll(ctx context.Context, ownerURL string, req PollRequest) (PollResponse, error) {
	hold := time.Duration(req.HoldMillis) * time.Millisecond
	raw, err := p.client.post(ctx, joinURL(ownerURL, PathPoll), req, true, hold)
	if err != nil {
		return PollResponse{}, classifyWriteError(err)
	}
	response, err := decode[PollResponse](raw)
	if err != nil {
		return PollResponse{}, classifyCallError(err)
	}
	return response, nil
}
