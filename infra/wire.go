package infra

import "github.com/google/uuid"

// Headers of the platform's protocols.
const (
	// HeaderDomain names the failure domain of the sender of a request.
	HeaderDomain = "Currantthread-Domain"
	// HeaderRequestID identifies a request. A server echoes it so that the client can detect a response to another request.
	HeaderRequestID = "Currantthread-Request-Id"
)

// Paths of the platform's protocols, relative to the service's base URL or the server's address.
const (
	PathTableRead   = "/v1/table/read"
	PathTableScan   = "/v1/table/scan"
	PathTableCommit = "/v1/table/commit"
	PathObjects     = "/v1/objects/"
	PathVMs         = "/v1/vms"
	PathAttach      = "/v1/attach"
	PathPoll        = "/v1/poll"
)

// MaxMessageBytes is the largest message of the platform's protocols in either direction. A full scan page and a settings
// tree are far smaller.
const MaxMessageBytes = 64 << 20

// ErrorCode is the machine-readable reason in an ErrorBody.
type ErrorCode string

const (
	// CodeRefused means that the server refused the request. Nothing was written and nothing will be.
	CodeRefused ErrorCode = "refused"
	// CodeInvalid means that the request is invalid. Nothing was written.
	CodeInvalid ErrorCode = "invalid"
	// CodeConflict means that conditions of a transaction did not hold, or that an object exists with other data.
	CodeConflict ErrorCode = "conflict"
	// CodeNotFound means that an object does not exist.
	CodeNotFound ErrorCode = "not-found"
	// CodeStaleEpoch means that the epoch of the message is not that of the receiver.
	CodeStaleEpoch ErrorCode = "stale-epoch"
	// CodeUnknown means that it is unknown whether anything was written.
	CodeUnknown ErrorCode = "unknown"
)

// ErrorBody is the body of every error response. An error response without such a body counts as CodeUnknown.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Conflicts lists the keys whose conditions did not hold, for CodeConflict of a commit.
	Conflicts []string `json:"conflicts,omitempty"`
	// Cell, Got and Want describe CodeStaleEpoch.
	Cell string `json:"cell,omitempty"`
	Got  int64  `json:"got,omitempty"`
	Want int64  `json:"want,omitempty"`
}

// ReadRequest is the body of PathTableRead.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of PathTableScan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse is the response to PathTableRead and PathTableScan.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse is the response to PathTableCommit, whose request body is a Txn.
type CommitResponse struct {
	Version int64 `json:"version"`
}

// VMsResponse is the response to PathVMs.
type VMsResponse struct {
	VMs []VM `json:"vms"`
}

func newRequestID() string { return uuid.NewString() }
