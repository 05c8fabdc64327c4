package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// claimState is the state of a claim's request.
type claimState string

const (
	// claimRunning means that the holder may have sent the request.
	claimRunning claimState = "running"
	// claimDone means that a response arrived.
	claimDone claimState = "done"
	// claimUnknown means that the request may or may not have run.
	claimUnknown claimState = "unknown"
)

// claimRow is the value of the row of an idempotency claim.
type claimRow struct {
	// Holder and Instance identify the entry VM and the process that claimed the key.
	Holder   string     `json:"holder"`
	Instance string     `json:"instance"`
	State    claimState `json:"state"`
	// CreatedMillis is the time of the claim in Unix milliseconds by the holder's wall clock. It is used for expiry
	// only.
	CreatedMillis int64 `json:"created_ms"`
	// TimeoutMillis is how long after the claim the holder may still store an outcome.
	TimeoutMillis int64 `json:"timeout_ms"`
	// RequestDigest is the digest of the method, the target, the body's length and the part of the body that was read
	// before the claim.
	RequestDigest string `json:"request"`
	// FullDigest is the digest of the whole request if the body is longer than the part that RequestDigest covers.
	FullDigest string        `json:"full,omitempty"`
	Response   *keptResponse `json:"answer,omitempty"`
}

// maxKeptResponse is the largest size of a stored response in bytes.
const maxKeptResponse = 4 << 10

// keptResponse is a stored response, which is returned to repeated requests.
type keptResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// size estimates the stored size in bytes. Bodies are stored in base64.
func (r *keptResponse) size() int {
	size := len(r.Body) * 4 / 3
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(`"":[""],`)
		}
	}
	return size
}

func (r claimRow) expired(now time.Time, expiry time.Duration) bool {
	return now.Sub(time.UnixMilli(r.CreatedMillis)) > expiry
}

// keyDigest returns the digest of an idempotency key for use in the key of its row.
func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// requestDigest computes a digest of a request as its caller sent it. Repeated requests that differ have different
// digests.
type requestDigest struct{ hash hash.Hash }

func newRequestDigest(method string, target *url.URL) *requestDigest {
	d := &requestDigest{hash: sha256.New()}
	d.add(method)
	d.add(target.RequestURI())
	return d
}

// add hashes one part prefixed with its length, so that the boundaries of parts are unambiguous.
func (d *requestDigest) add(part string) {
	d.hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
}

// Write adds bytes of the body.
func (d *requestDigest) Write(p []byte) (int, error) { return d.hash.Write(p) }

func (d *requestDigest) sum() string { return hex.EncodeToString(d.hash.Sum(nil)) }
