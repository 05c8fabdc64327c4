package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxSavedRetries bounds the retries that accumulate while few are used, so that a later fault cannot cause a burst of
// them.
const maxSavedRetries = 100

// retryCost is the cost of a retry in the unit of RetryBudget.saved.
const retryCost = 100

// RetryBudget allows retries up to a percentage of requests plus a fixed number per second. It is safe for concurrent
// use.
type RetryBudget struct {
	floor *rate.Limiter

	mu      sync.Mutex // guards percent and saved
	percent int        // retries allowed per hundred requests
	saved   int        // hundredths of a retry
}

// NewRetryBudget returns a budget of percent retries per hundred requests plus floor retries per second.
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

// Deposit counts one request. It is not called for retries.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.percent, maxSavedRetries*retryCost)
}

// Withdraw reports whether one retry may be sent.
func (b *RetryBudget) Withdraw() bool { return b.WithdrawAt(time.Now()) }

// WithdrawAt is like Withdraw at the given time, for simulations.
func (b *RetryBudget) WithdrawAt(now time.Time) bool {
	if b.withdrawSaved() {
		return true
	}
	return b.floor.AllowN(now, 1)
}

func (b *RetryBudget) withdrawSaved() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < retryCost {
		return false
	}
	b.saved -= retryCost
	return true
}

// ByteBudget is a token bucket of bytes. Its capacity is the bytes of one second. It is safe for concurrent use.
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

// Allow reports whether n bytes may be sent, and counts them if so. If the bucket is full, n may exceed its capacity;
// the excess becomes a debt, so that the long-term rate is kept.
func (b *ByteBudget) Allow(n int64) bool { return b.AllowAt(time.Now(), n) }

// AllowAt is like Allow at the given time, for simulations.
func (b *ByteBudget) AllowAt(now time.Time, n int64) bool {
	burst := int64(b.limiter.Burst())
	if burst == 0 || !b.limiter.AllowN(now, int(min(n, burst))) {
		return false
	}
	b.charge(now, n-burst)
	return true
}

// Available returns the number of bytes that may be sent now. It is negative during a debt.
func (b *ByteBudget) Available(now time.Time) int64 { return int64(b.limiter.TokensAt(now)) }

// Charge counts n bytes that were sent without a check of the budget, such as a response body of unknown length.
func (b *ByteBudget) Charge(n int64) { b.charge(time.Now(), n) }

func (b *ByteBudget) charge(now time.Time, n int64) {
	burst := int64(b.limiter.Burst())
	for ; n > 0 && burst > 0; n -= burst {
		b.limiter.ReserveN(now, int(min(n, burst)))
	}
}
