package sidecar

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// checkInterval is the time between two health checks while the upstream is known. Each check takes one of the
	// upstream's slots, but only a check shows that the upstream has become cold again.
	checkInterval = 2 * time.Second
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

// run checks the upstream regularly until ctx ends.
func (h *healthChecker) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.wake:
		}
		if h.check() {
			timer.Reset(checkInterval)
		} else {
			timer.Reset(recheckInterval)
		}
	}
}

// check makes one health check and reports whether the upstream is known.
func (h *healthChecker) check() bool {
	view := h.o.View()
	if view.Config == nil {
		return false
	}
	service := view.Config.Services[h.o.Settings.Service]
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
	h.recordCheck(resp, service.ColdRequestsPerSecond)
	return h.upstreamID() != ""
}

// recordCheck takes the upstream's ID and its cold time from the response to a health check. coldRate is the rate that
// the upstream can bear while it is cold, in requests per second.
func (h *healthChecker) recordCheck(resp *fasthttp.Response, coldRate float64) {
	id := string(resp.Header.Peek(h.o.Headers.UpstreamID))
	if id == "" {
		return
	}
	cold := time.Duration(0)
	if ms, err := strconv.ParseFloat(string(resp.Header.Peek(h.o.Headers.ColdRemainingMS)), 64); err == nil {
		cold = time.Duration(ms * float64(time.Millisecond))
	}
	rate := slots.NewColdRate(coldRate, h.o.Settings.ColdRateFactor, h.o.Settings.ColdRateSlack)
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
