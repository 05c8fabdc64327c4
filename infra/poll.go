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

// MaxHold bounds how long a poll may ask to be held.
const MaxHold = time.Minute

// NewPollHandler returns a handler of PathPoll that passes the polls of workers to server.
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

// WriteMessage answers a request of the platform's protocols.
func WriteMessage(w http.ResponseWriter, r *http.Request, message any) {
	writeJSON(w, r, http.StatusOK, message)
}

// WriteError answers a request of the platform's protocols with an error.
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
	// A failed write means that the client left; it treats the answer as lost.
	_, _ = w.Write(data)
}

// PollClient polls the owners of cells on behalf of a worker.
type PollClient struct {
	client *client
}

// NewPollClient returns a client for the workers of a failure domain. timeout is the longest time of one poll beyond
// the time that the owner may hold it.
func NewPollClient(domain string, timeout time.Duration) *PollClient {
	return &PollClient{client: newClient(domain, timeout)}
}

// Poll sends one poll to the owner at ownerURL. It returns a *StaleEpochError if the owner's epoch is another, and
// *UnavailableError or *UnknownOutcomeError if the owner did not answer. Durations in the answer count from the instant
// at which Poll was called, or earlier.
func (p *PollClient) Poll(ctx context.Context, ownerURL string, req PollRequest) (PollResponse, error) {
	hold := time.Duration(req.HoldMillis) * time.Millisecond
	answer, err := p.client.post(ctx, joinURL(ownerURL, PathPoll), req, true, hold)
	if err != nil {
		return PollResponse{}, writeError(err)
	}
	response, err := decode[PollResponse](answer)
	if err != nil {
		return PollResponse{}, epochError(err)
	}
	return response, nil
}
