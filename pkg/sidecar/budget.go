package sidecar

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

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

// retryBudgets holds a retry budget for each service. On a mesh without teams, an allocator of each budget decides which
// attempts draw from it. It is safe for concurrent use.
type retryBudgets struct {
	o          *Options
	registry   metrics.Registry
	mu         sync.Mutex
	services   map[string]*retry.Budget
	allocators map[string]*retry.Allocator
	// nodes is the number of nodes among which the slack was divided.
	nodes int
}

func newRetryBudgets(o *Options, registry metrics.Registry) *retryBudgets {
	return &retryBudgets{o: o, registry: registry, services: map[string]*retry.Budget{}, allocators: map[string]*retry.Allocator{}}
}

// allocates reports whether allocators decide about attempts, which is so on a mesh without teams.
func (b *retryBudgets) allocates() bool {
	config := b.o.View().Config
	return config != nil && len(config.Teams) == 0
}

// allocatorOf returns the allocator of a service's budget. The lock is held.
func (b *retryBudgets) allocatorOf(service string, now time.Duration) *retry.Allocator {
	budget := b.budgetOf(service, now)
	a := b.allocators[service]
	if a == nil {
		a = retry.NewAllocator(budget, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		b.allocators[service] = a
		b.registry.GetOrRegister(metricName("refused_attempts_percent", "service", service),
			metrics.NewFunctionalGauge(func() int64 { return b.refusedPercent(a) }))
	}
	return a
}

// refusedPercent returns which share of attempts upstreams refuse, in percent.
func (b *retryBudgets) refusedPercent(a *retry.Allocator) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	const percent = 100
	return int64(math.Round(percent * a.RefusedShare(b.o.Clock.Now())))
}

// recordOutcome records the result of an attempt at a service for its allocator.
func (b *retryBudgets) recordOutcome(service string, result *attemptResult) {
	if !result.reachedUpstream || !b.allocates() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Clock.Now()
	b.allocatorOf(service, now).RecordOutcome(now, result.reason == ReasonUpstreamShed)
}

// countDecision counts an extra attempt that was granted or denied.
func (b *retryBudgets) countDecision(service string, use retry.Use, granted bool) {
	decision := "denied"
	if granted {
		decision = "granted"
	}
	name := metricName("extra_attempts_total", "service", service, "use", use.String(), "decision", decision)
	metrics.GetOrRegisterCounter(name, b.registry).Inc(1)
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

// takeAttempt takes an extra attempt for the use from the service's budget and reports whether it may be made.
func (b *retryBudgets) takeAttempt(service string, use retry.Use, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allocates() {
		return b.budgetOf(service, now).Withdraw(now)
	}
	granted := b.allocatorOf(service, now).Withdraw(now, use)
	b.countDecision(service, use, granted)
	return granted
}

// refundAttempt returns an extra attempt that was taken but not made.
func (b *retryBudgets) refundAttempt(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service, b.o.Clock.Now()).Refund()
}

// hasAttempt reports whether the service's budget has an extra attempt for the use. A false answer counts as a denied
// attempt, so it is asked only for an attempt that would be made.
func (b *retryBudgets) hasAttempt(service string, use retry.Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Clock.Now()
	if !b.allocates() {
		return b.budgetOf(service, now).Available(now)
	}
	available := b.allocatorOf(service, now).Available(now, use)
	if !available {
		b.countDecision(service, use, false)
	}
	return available
}

// attemptUse returns what another attempt at the request is for.
func (c *call) attemptUse() retry.Use {
	switch {
	case c.nested && c.parentHasSunkWork():
		return retry.UseSunk
	case c.nested:
		return retry.UseNested
	case c.mayHaveRun || c.heldFailure != nil || c.lastResult.outcome == outcomeRan:
		return retry.UseCaller
	}
	return retry.UseReturnable
}

// parentHasSunkWork reports whether the request that makes this nested call would lose finished work: earlier calls of
// it have ended well, or it had run for more than half of the mean service time of its upstream when it made this one. The
// service time of its own route alone is not known here.
func (c *call) parentHasSunkWork() bool {
	if c.parent.ID == "" {
		return false
	}
	return c.parent.Calls > 0 || c.arrived-c.parent.StartedAt > c.node.controller.queue.load().MeanServiceTime/2
}

// noteDenied remembers, for the log, the use of an extra attempt that was denied. On a mesh with teams nothing depends on
// the use.
func (c *call) noteDenied(use retry.Use) {
	if len(c.view.Config.Teams) == 0 {
		c.deniedUse = use.String()
	}
}

// recordParentCall records for the parent of a nested call how the call has ended.
func (c *call) recordParentCall(r result, status int) {
	if c.parent.ID != "" {
		c.node.controller.origins.callEnded(c.parent.ID, r.reason != ReasonNone || status >= fasthttp.StatusInternalServerError)
	}
}
