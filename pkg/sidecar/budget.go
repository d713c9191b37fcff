package sidecar

import (
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/retry"
)

const (
	// savedAttempts is what one node saves up at most for a service.
	savedAttempts = 2
	// slackShare is the part of the bound's slack that all nodes together may save up. Nodes that start again have
	// their savings once more.
	slackShare = 0.8
	// ratioShare is the part of the bound's ratio that requests earn. Attempts that upstreams make themselves, and the
	// calls of repeated requests, count too.
	ratioShare = 0.5
)

// budgets holds a retry budget for each service.
type budgets struct {
	o        *Options
	mu       sync.Mutex
	services map[string]*retry.Budget
}

func newBudgets(o *Options) *budgets { return &budgets{o: o, services: map[string]*retry.Budget{}} }

func (b *budgets) get(service string) *retry.Budget {
	budget := b.services[service]
	if budget == nil {
		nodes := max(1, len(b.o.View().VMs))
		saved := min(savedAttempts, slackShare*b.o.Settings.RetryBudgetSlack/float64(nodes))
		budget = retry.NewProportionalBudget(saved, ratioShare*b.o.Settings.RetryBudgetRatio)
		b.services[service] = budget
	}
	return budget
}

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
