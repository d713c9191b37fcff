package sidecar

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/decision/sources"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// checkInterval is the time between two health checks while the upstream is known. Each check takes one of the
	// upstream's slots.
	checkInterval = 2 * time.Second
	// disconnectedCheckInterval is the same while the node is out of contact with the store. Only a check then shows that
	// the upstream has become cold again, after which it tolerates a low rate of requests in each second.
	disconnectedCheckInterval = 300 * time.Millisecond
	// recheckInterval is the time between two health checks while the upstream is not known.
	recheckInterval = 150 * time.Millisecond
	// checkTimeout bounds one health check.
	checkTimeout = time.Second
	// maxCheckBody is the size in bytes of the largest body of a response to a health check. Only its headers matter.
	maxCheckBody = 64 << 10
)

// healthChecker finds out which upstream runs beside the node and for how long it stays cold. The status code of a
// check does not decide whether the upstream gets work, because it may be wrong in both directions.
type healthChecker struct {
	o     *Options
	pool  *peer.Pool
	queue *blockingQueue
	wake  chan struct{}

	mu sync.Mutex
	id string
}

func newHealthChecker(o *Options, pool *peer.Pool, q *blockingQueue) *healthChecker {
	return &healthChecker{o: o, pool: pool, queue: q, wake: make(chan struct{}, 1)}
}

// upstreamID returns the ID of the upstream, or an empty string while it is not known.
func (h *healthChecker) upstreamID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id
}

// reportUnreachable records that the upstream accepted no connection. It gets no work until it answers a health check,
// because it may have restarted and be cold.
func (h *healthChecker) reportUnreachable(err error) {
	h.o.Log.WithError(err).WithField("upstream", h.upstreamID()).Warn("the upstream accepts no connection; checking it")
	h.forgetUpstream()
}

// reportBrokenConnection records that a connection broke during a request. An upstream that runs but loses some
// responses stays in use. The health check recognises one that has restarted.
func (h *healthChecker) reportBrokenConnection(err error) {
	h.o.Log.WithError(err).WithField("upstream", h.upstreamID()).Warn("a connection to the upstream broke; checking it")
	h.requestCheck()
}

// reportReplaced records that another upstream answered at the address.
func (h *healthChecker) reportReplaced() {
	h.o.Log.WithField("upstream", h.upstreamID()).Warn("another upstream answers at the address; checking it")
	h.forgetUpstream()
}

// forgetUpstream makes the upstream unknown and requests a health check, which finds it out again.
func (h *healthChecker) forgetUpstream() {
	h.mu.Lock()
	h.id = ""
	h.mu.Unlock()
	h.requestCheck()
}

// requestCheck makes run check the upstream now.
func (h *healthChecker) requestCheck() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// reportCold records that the upstream's entry in the store says that it is cold. The entry may be old, so a health check
// is requested, which replaces the time.
func (h *healthChecker) reportCold(remaining time.Duration) {
	if service := h.service(); service != nil {
		rate := h.coldRate(service)
		h.queue.update(func(now time.Duration) []slots.Action { return h.queue.slots.ExtendCold(now, now+remaining, rate) })
	}
	h.requestCheck()
}

// run checks the upstream regularly until ctx ends.
func (h *healthChecker) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	checkedAt, known := time.Duration(0), false
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.wake:
			requested = true
		}
		// The interval may have become shorter since the last check, so the timer fires more often than checks are due.
		if !known || requested || h.o.Clock.Now()-checkedAt >= h.interval() {
			checkedAt = h.o.Clock.Now()
			known = h.check()
		}
		if known {
			timer.Reset(disconnectedCheckInterval)
		} else {
			timer.Reset(recheckInterval)
		}
	}
}

// interval returns the time between two health checks while the upstream is known.
func (h *healthChecker) interval() time.Duration {
	if h.o.StoreAge() > sources.MaxStoreAge {
		return disconnectedCheckInterval
	}
	return checkInterval
}

// service returns the service of the upstream in the current configuration, or nil.
func (h *healthChecker) service() *mesh.Service {
	config := h.o.View().Config
	if config == nil {
		return nil
	}
	return config.Services[h.o.Settings.Service]
}

// coldRate returns the rate of requests for a cold upstream of the service.
func (h *healthChecker) coldRate(s *mesh.Service) slots.ColdRate {
	over, slack := h.o.Settings.ColdRateFactor, h.o.Settings.ColdRateSlack
	if config := h.o.View().Config; config != nil && policyFor(config) == slots.LeastCost {
		return slots.FullColdRate(s.ColdRequestsPerSecond, over, slack)
	}
	return slots.NewColdRate(s.ColdRequestsPerSecond, over, slack)
}

// check makes one health check and reports whether the upstream is known.
func (h *healthChecker) check() bool {
	service := h.service()
	if service == nil {
		return false
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(h.o.Settings.UpstreamAddress)
	req.SetRequestURI(service.HealthPath)
	until := time.Now().Add(checkTimeout)
	conn, err := h.pool.Acquire(peer.Target{Address: h.o.Settings.UpstreamAddress}, until, false)
	if err == nil {
		conn.LimitBody(maxCheckBody)
		_, err = conn.Send(req, resp, until, nil)
	}
	if err != nil {
		h.o.Log.WithError(err).Debug("the health check of the upstream failed")
		return h.upstreamID() != "" && peer.IsTimeout(err)
	}
	h.recordCheck(resp, h.coldRate(service))
	return h.upstreamID() != ""
}

// recordCheck takes the upstream's ID and its cold time from the response to a health check. rate is that of requests while
// the upstream is cold.
func (h *healthChecker) recordCheck(resp *fasthttp.Response, rate slots.ColdRate) {
	id := string(resp.Header.Peek(h.o.Headers.UpstreamID))
	if id == "" {
		return
	}
	if report, ok := h.o.readLoad(resp); ok {
		h.queue.recordReport(report)
	}
	cold := time.Duration(0)
	if ms, err := strconv.ParseFloat(string(resp.Header.Peek(h.o.Headers.ColdRemainingMS)), 64); err == nil {
		cold = time.Duration(ms * float64(time.Millisecond))
	}
	h.queue.update(func(now time.Duration) []slots.Action { return h.queue.slots.SetCold(now, now+cold, rate) })
	h.mu.Lock()
	changed := h.id != id
	h.id = id
	h.mu.Unlock()
	if changed {
		h.o.Log.WithField("upstream", id).WithField("cold_ms", cold.Milliseconds()).WithField("status", resp.StatusCode()).
			Info("the upstream answers")
	}
}
