package forward

import (
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/retry"
)

// budgets holds a retry budget for each service.
type budgets struct {
	mu       sync.Mutex
	services map[string]*retry.Budget
}

func (b *budgets) get(service string) *retry.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = retry.NewEarnedBudget(savedAttempts)
		b.services[service] = budget
	}
	return budget
}

// savedAttempts is what one node can save up for a service. All nodes together then stay below the slack of the
// budget's bound, which is about five attempts for each node.
const savedAttempts = 2

// first counts a request for the service.
func (b *budgets) first(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).Deposit()
}

// extra takes one further attempt and reports whether there was one.
func (b *budgets) extra(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).Withdraw(now)
}

// refund returns a further attempt that was not made.
func (b *budgets) refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).Refund()
}

// has reports whether there is a further attempt.
func (b *budgets) has(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).Available()
}

func (b *budgets) init() { b.services = map[string]*retry.Budget{} }
