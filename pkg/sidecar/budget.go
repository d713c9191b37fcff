package sidecar

import (
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/retry"
)

const (
	// maxSavedAttempts is the largest number of extra attempts that one node may save up for a service, and
	// maxRefillPerSecond the largest number that it gains in a second beside the share of its requests. A node that has
	// just started knows only some of the others, so it would take its part of the slack for larger than it is.
	maxSavedAttempts   = 2
	maxRefillPerSecond = 0.25
	// savedSlackShare is the part of RetryBudgetSlack that all nodes together may save up. What is left of
	// usableSlackShare is gained in each retryWindow, for which the bound holds. The rest is for nodes that restart,
	// which get half of their savings again.
	savedSlackShare  = 0.8
	usableSlackShare = 0.9
	retryWindow      = 10 * time.Second
	// ratioShare is the part of RetryBudgetRatio that requests earn. It is less than 1 because the bound also counts
	// the attempts that upstreams make themselves, and which calls belong to a repeated request is only estimated.
	ratioShare = 0.8
)

// budgetLimits returns what the budget of one node may save up, and what it gains in a second, for its part of the
// slack.
func budgetLimits(slack float64) (saved, refillPerSecond float64) {
	saved = min(maxSavedAttempts, savedSlackShare*slack)
	return saved, min(maxRefillPerSecond, max(0, usableSlackShare*slack-saved)/retryWindow.Seconds())
}

// retryBudgets holds a retry budget for each service. It is safe for concurrent use.
type retryBudgets struct {
	o        *Options
	mu       sync.Mutex
	services map[string]*retry.Budget
	// nodes is the number of nodes among which the slack was divided.
	nodes int
}

func newRetryBudgets(o *Options) *retryBudgets {
	return &retryBudgets{o: o, services: map[string]*retry.Budget{}}
}

// budgetOf returns the budget of a service. The lock is held.
func (b *retryBudgets) budgetOf(service string, now time.Duration) *retry.Budget {
	nodes := max(1, len(b.o.View().VMs))
	saved, refill := budgetLimits(b.o.Settings.RetryBudgetSlack / float64(nodes))
	if nodes != b.nodes {
		b.nodes = nodes
		for _, budget := range b.services {
			budget.SetRefill(now, saved, refill)
		}
	}
	budget := b.services[service]
	if budget == nil {
		budget = retry.NewProportionalBudget(now, saved/2, ratioShare*b.o.Settings.RetryBudgetRatio)
		budget.SetRefill(now, saved, refill)
		b.services[service] = budget
	}
	return budget
}

// countRequest adds the share of an extra attempt that each request for the service earns.
func (b *retryBudgets) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service, b.o.Clock.Now()).Deposit()
}

// countCall does the same for a call that the node's upstream makes, of whose running requests the given share are
// repeated ones.
func (b *retryBudgets) countCall(service string, repeatedShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service, b.o.Clock.Now()).DepositCall(repeatedShare)
}

// takeAttempt takes an extra attempt from the service's budget and reports whether there was one.
func (b *retryBudgets) takeAttempt(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(service, now).Withdraw(now)
}

// refundAttempt returns an extra attempt that was taken but not made.
func (b *retryBudgets) refundAttempt(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service, b.o.Clock.Now()).Refund()
}

// hasAttempt reports whether the service's budget has an extra attempt.
func (b *retryBudgets) hasAttempt(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Clock.Now()
	return b.budgetOf(service, now).Available(now)
}
