package standin

import (
	"bytes"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// NewPattern returns an endless stream of bytes that depends only on token. Both ends of a request can compute the expected
// response, and the response to another request differs.
func NewPattern(token string) io.Reader {
	var seed [32]byte
	copy(seed[:], token)
	sum := xxhash.Sum64String(token)
	for i := range 8 {
		seed[24+i] ^= byte(sum >> (8 * i))
	}
	return rand.NewChaCha8(seed)
}

// PatternBytes returns the first n bytes of the pattern of token.
func PatternBytes(token string, n int) []byte {
	data := make([]byte, n)
	_, _ = io.ReadFull(NewPattern(token), data)
	return data
}

// MatchesPattern reads r and reports whether it contains exactly the first n bytes of the pattern of token.
func MatchesPattern(r io.Reader, token string, n int64) (bool, error) {
	pattern := NewPattern(token)
	got, want := make([]byte, 64<<10), make([]byte, 64<<10)
	var total int64
	for {
		read, err := r.Read(got)
		total += int64(read)
		if total > n {
			return false, nil
		}
		_, _ = io.ReadFull(pattern, want[:read])
		if !bytes.Equal(got[:read], want[:read]) {
			return false, nil
		}
		if err == io.EOF {
			return total == n, nil
		}
		if err != nil {
			return false, err
		}
	}
}
