package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxSavedRetries bounds what a quiet time saves up, so that a fault after it cannot set off a wave of retries.
const maxSavedRetries = 100

// oneRetry is the price of a retry in RetryBudget.saved.
const oneRetry = 100

// RetryBudget allows retries as a part of requests plus a floor per second. It is safe for concurrent use.
type RetryBudget struct {
	floor *rate.Limiter

	mu      sync.Mutex // guards percent and saved
	percent int        // retries earned by a hundred requests
	saved   int        // hundredths of a retry
}

// NewRetryBudget returns a budget of percent retries per hundred requests and floor retries a second besides.
func NewRetryBudget(percent, floor int) *RetryBudget {
	return &RetryBudget{percent: percent, floor: rate.NewLimiter(rate.Limit(floor), floor)}
}

// Configure changes the budget.
func (b *RetryBudget) Configure(percent, floor int) {
	b.floor.SetLimit(rate.Limit(floor))
	b.floor.SetBurst(floor)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = percent
}

// Deposit counts one request. Retries are not counted.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.percent, maxSavedRetries*oneRetry)
}

// Withdraw reports whether one retry may be sent.
func (b *RetryBudget) Withdraw() bool { return b.WithdrawAt(time.Now()) }

// WithdrawAt is Withdraw at a given instant, for simulations.
func (b *RetryBudget) WithdrawAt(now time.Time) bool {
	if b.withdrawSaved() {
		return true
	}
	return b.floor.AllowN(now, 1)
}

func (b *RetryBudget) withdrawSaved() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < oneRetry {
		return false
	}
	b.saved -= oneRetry
	return true
}

// ByteBudget is a token bucket of bytes that holds one second's worth. It is safe for concurrent use.
type ByteBudget struct {
	limiter *rate.Limiter
}

// NewByteBudget returns a full budget.
func NewByteBudget(bytesPerSecond int64) *ByteBudget {
	return &ByteBudget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(bytesPerSecond))}
}

// SetRate changes the rate.
func (b *ByteBudget) SetRate(bytesPerSecond int64) {
	b.limiter.SetLimit(rate.Limit(bytesPerSecond))
	b.limiter.SetBurst(int(bytesPerSecond))
}

// Take reports whether n bytes may be sent, and counts them if so. More bytes than the bucket holds may be sent when it
// is full; what they exceed it by becomes a debt, so the rate holds in the long run.
func (b *ByteBudget) Take(n int64) bool { return b.TakeAt(time.Now(), n) }

// TakeAt is Take at a given instant, for simulations.
func (b *ByteBudget) TakeAt(now time.Time, n int64) bool {
	burst := int64(b.limiter.Burst())
	if burst == 0 || !b.limiter.AllowN(now, int(min(n, burst))) {
		return false
	}
	b.charge(now, n-burst)
	return true
}

// Available returns the bytes that may be sent now; a debt is negative.
func (b *ByteBudget) Available(now time.Time) int64 { return int64(b.limiter.TokensAt(now)) }

// Charge counts n bytes that were sent whether the budget allows them or not, such as the body of an answer whose
// length nobody knew before.
func (b *ByteBudget) Charge(n int64) { b.charge(time.Now(), n) }

func (b *ByteBudget) charge(now time.Time, n int64) {
	burst := int64(b.limiter.Burst())
	for ; n > 0 && burst > 0; n -= burst {
		b.limiter.ReserveN(now, int(min(n, burst)))
	}
}
