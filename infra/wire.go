package infra

import "github.com/google/uuid"

// Headers of the platform's protocols.
const (
	// HeaderDomain names the failure domain of the sender of a request.
	HeaderDomain = "Currantthread-Domain"
	// HeaderRequestID identifies a request. A server that echoes it lets the client detect crossed answers.
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

// MaxMessageBytes bounds one message of the platform's protocols in either direction. A full scan page and a
// settings tree are far below it.
const MaxMessageBytes = 64 << 20

// ErrorCode names the reason in an ErrorBody.
type ErrorCode string

const (
	// CodeRefused is an error after which nothing was written and nothing will be.
	CodeRefused ErrorCode = "refused"
	// CodeInvalid is a request that the server cannot understand. Nothing was written.
	CodeInvalid ErrorCode = "invalid"
	// CodeConflict is a transaction whose conditions did not hold, or an object that exists with other data.
	CodeConflict ErrorCode = "conflict"
	// CodeNotFound is an object that does not exist.
	CodeNotFound ErrorCode = "not-found"
	// CodeStaleEpoch is a message that names another epoch than the receiver's.
	CodeStaleEpoch ErrorCode = "stale-epoch"
	// CodeUnknown is an error that says nothing about what was written.
	CodeUnknown ErrorCode = "unknown"
)

// ErrorBody is the body of every answer with an error status. An error without such a body is CodeUnknown.
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

// RowsResponse answers PathTableRead and PathTableScan.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse answers PathTableCommit, whose request body is a Txn.
type CommitResponse struct {
	Version int64 `json:"version"`
}

// VMsResponse answers PathVMs.
type VMsResponse struct {
	VMs []VM `json:"vms"`
}

func newRequestID() string { return uuid.NewString() }
