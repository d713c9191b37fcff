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
	// checkInterval is the time between two health checks of an upstream that is known. Checks take a slot, but only
	// they tell that an upstream has become cold again.
	checkInterval = 2 * time.Second
	// recheckInterval is the time between two checks while the upstream is not known.
	recheckInterval = 150 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = time.Second
)

// health knows which upstream runs beside the node and how long it is cold. The status of the check is not used to
// turn work away, because it may be wrong either way.
type health struct {
	o     *Options
	pool  *peer.Pool
	queue *queue
	wake  chan struct{}

	mu sync.Mutex
	id string
}

func newHealth(o *Options, pool *peer.Pool, q *queue) *health {
	return &health{o: o, pool: pool, queue: q, wake: make(chan struct{}, 1)}
}

// upstream returns the ID of the upstream that answered last, or an empty text.
func (h *health) upstream() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id
}

// unreachable notes that the upstream accepted no connection. It is not used until it answers a check: it may have
// started again, and would then be cold.
func (h *health) unreachable(err error) {
	h.o.Log.WithError(err).WithField("upstream", h.upstream()).Warn("the upstream accepts no connection; checking it")
	h.forget()
}

// broken notes that a connection broke during a request. An upstream that goes on running and loses some answers stays
// in use; one that has started again is recognised by the check.
func (h *health) broken(err error) {
	h.o.Log.WithError(err).WithField("upstream", h.upstream()).Warn("a connection to the upstream broke; checking it")
	h.check()
}

// replaced notes that another upstream answered at the address.
func (h *health) replaced() {
	h.o.Log.WithField("upstream", h.upstream()).Warn("another upstream answers at the address; checking it")
	h.forget()
}

func (h *health) forget() {
	h.mu.Lock()
	h.id = ""
	h.mu.Unlock()
	h.check()
}

// check asks for a check now.
func (h *health) check() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// run checks the upstream until ctx ends.
func (h *health) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.wake:
		}
		if h.probe() {
			timer.Reset(checkInterval)
		} else {
			timer.Reset(recheckInterval)
		}
	}
}

// probe makes one check and reports whether the upstream is known.
func (h *health) probe() bool {
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
		_, err = conn.Send(req, resp, until, nil)
	}
	if err != nil {
		h.o.Log.WithError(err).Debug("the health check failed")
		return h.upstream() != "" && peer.IsTimeout(err)
	}
	h.take(resp, service.ColdRequestsPerSecond)
	return h.upstream() != ""
}

func (h *health) take(resp *fasthttp.Response, coldRate float64) {
	id := string(resp.Header.Peek(h.o.Headers.UpstreamID))
	if id == "" {
		return
	}
	cold := time.Duration(0)
	if ms, err := strconv.ParseFloat(string(resp.Header.Peek(h.o.Headers.ColdRemainingMS)), 64); err == nil {
		cold = time.Duration(ms * float64(time.Millisecond))
	}
	rate := slots.NewColdRate(coldRate, h.o.Settings.ColdRateFactor, h.o.Settings.ColdRateSlack)
	h.queue.change(func(now time.Duration) []slots.Action { return h.queue.slots.SetCold(now, now+cold, rate) })
	h.mu.Lock()
	changed := h.id != id
	h.id = id
	h.mu.Unlock()
	if changed {
		h.o.Log.WithField("upstream", id).WithField("cold_ms", cold.Milliseconds()).WithField("status", resp.StatusCode()).
			Info("the upstream answers")
	}
}
