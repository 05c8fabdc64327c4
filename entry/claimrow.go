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

// claimState is how far the request of a claim has come.
type claimState string

const (
	// claimRunning means that the holder may have sent the request.
	claimRunning claimState = "running"
	// claimDone means that an answer arrived.
	claimDone claimState = "done"
	// claimUnknown means that the holder does not know whether the request ran.
	claimUnknown claimState = "unknown"
)

// claimRow is the value of an idempotency claim's row.
type claimRow struct {
	// Holder and Instance name the entry VM and the process that claimed the key.
	Holder   string     `json:"holder"`
	Instance string     `json:"instance"`
	State    claimState `json:"state"`
	// CreatedMillis is the holder's wall clock in Unix milliseconds, for expiry only.
	CreatedMillis int64 `json:"created_ms"`
	// TimeoutMillis is how long after the claim the holder may still store an outcome.
	TimeoutMillis int64 `json:"timeout_ms"`
	// Request is the digest of the method, the target and the part of the body that was read before the claim.
	Request string `json:"request"`
	// Full is the digest of the whole request if the body was longer than that.
	Full   string      `json:"full,omitempty"`
	Answer *keptAnswer `json:"answer,omitempty"`
}

// maxKeptAnswer is the largest stored form of an answer, in bytes.
const maxKeptAnswer = 4 << 10

// keptAnswer is an answer that repeats of its request get.
type keptAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// size estimates the stored size in bytes; bodies are stored in base64.
func (a *keptAnswer) size() int {
	size := len(a.Body) * 4 / 3
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(`"":[""],`)
		}
	}
	return size
}

func (r claimRow) expired(now time.Time, expiry time.Duration) bool {
	return now.Sub(time.UnixMilli(r.CreatedMillis)) > expiry
}

// keyDigest returns the part of the row's name that stands for an idempotency key.
func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// requestDigest digests a request as its caller sent it. The digest of a repeat that differs in any part differs too.
type requestDigest struct{ hash hash.Hash }

func newRequestDigest(method string, target *url.URL) *requestDigest {
	d := &requestDigest{hash: sha256.New()}
	d.add(method)
	d.add(target.RequestURI())
	return d
}

// add adds one part with its length, so that parts cannot run into each other.
func (d *requestDigest) add(part string) {
	d.hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
}

// Write adds bytes of the body.
func (d *requestDigest) Write(p []byte) (int, error) { return d.hash.Write(p) }

func (d *requestDigest) sum() string { return hex.EncodeToString(d.hash.Sum(nil)) }
