package soak

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/platform"
	"github.com/bamboodeal/bamboodeal/platform/platformtest"
)

const (
	slotCount = 4
	// queueLength is the number of requests that an upstream queues beyond its slots.
	queueLength = 16
	heartbeat   = 500 * time.Millisecond
	coldTime    = 2 * time.Second
	coldRate    = 20
	shortestRun = 5 * time.Millisecond
	longestRun  = 40 * time.Millisecond
	// drainTime is how long an upstream serves on after it reported that it leaves.
	drainTime = 2 * time.Second
	// innerShare is the part of the requests that make a call themselves.
	innerShare = 0.3
	bodySize   = 600
	healthPath = "/health"
	innerPath  = "/inner/"
)

// upstream is a stand-in of a program beside a node. It tells the store of itself and the ledger of each run.
type upstream struct {
	vm      *vm
	service string
	store   *platformtest.Store
	ledger  *ledger
	random  *source
	server  *fasthttp.Server
	caller  *fasthttp.HostClient

	slots chan struct{}

	mu       sync.Mutex
	id       string
	born     time.Time
	cold     time.Time
	draining bool
	sequence int64
	waiting  int
	runs     int
	stop     chan struct{}
}

func newUpstream(v *vm, service string, store *platformtest.Store, l *ledger, r *source) *upstream {
	quiet := logrus.New()
	quiet.SetLevel(logrus.PanicLevel)
	u := &upstream{
		vm: v, service: service, store: store, ledger: l, random: r, slots: make(chan struct{}, slotCount),
		caller: &fasthttp.HostClient{Addr: v.settings.CallerAddress, MaxIdemponentCallAttempts: 1, MaxConns: 64},
	}
	u.server = &fasthttp.Server{Handler: u.handle, Logger: quiet, NoDefaultServerHeader: true}
	return u
}

// serve starts the upstream at its own address.
func (u *upstream) serve(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() {
		if err := u.server.Serve(l); err != nil {
			u.ledger.violated("harness", "an upstream stand-in failed: %v", err)
		}
	}()
	u.begin(time.Time{})
	return nil
}

// begin starts a new incarnation, which registers itself.
func (u *upstream) begin(coldUntil time.Time) {
	u.mu.Lock()
	u.born = time.Now()
	u.id = fmt.Sprintf("i-%s-%x", u.vm.name, u.born.UnixMicro())
	u.cold, u.draining, u.sequence = coldUntil, false, 0
	u.stop = make(chan struct{})
	stop := u.stop
	u.mu.Unlock()
	u.report()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				u.report()
			}
		}
	}()
}

// report writes the upstream's entry.
func (u *upstream) report() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	value, err := platformtest.EncodeUpstream(&mesh.Upstream{
		Service: u.service, Address: u.vm.settings.UpstreamAddress, DataCentre: u.vm.settings.DataCentre, Slots: slotCount,
		Draining: u.draining, ColdRemaining: max(0, time.Until(u.cold)), Sequence: u.sequence, StartedAtMillis: u.born.UnixMilli(),
	})
	if err != nil {
		u.ledger.violated("harness", "cannot encode an upstream: %v", err)
		return
	}
	u.store.Put(platformtest.UpstreamKey(u.id), value)
}

// replace lets the upstream leave, with a notice or without, and another one take its place.
func (u *upstream) replace(notice bool) {
	u.mu.Lock()
	id, stop := u.id, u.stop
	u.draining = notice
	u.mu.Unlock()
	if notice {
		u.report()
	} else {
		u.store.Delete(platformtest.UpstreamKey(id))
	}
	close(stop)
	time.Sleep(drainTime)
	u.store.Delete(platformtest.UpstreamKey(id))
	u.begin(time.Now().Add(coldTime))
}

func (u *upstream) handle(ctx *fasthttp.RequestCtx) {
	names := &platform.Headers
	u.mu.Lock()
	id, cold := u.id, time.Until(u.cold)
	u.mu.Unlock()
	if string(ctx.Path()) == healthPath {
		ctx.Response.Header.Set(names.UpstreamID, id)
		ctx.Response.Header.Set(names.ColdRemainingMS, strconv.FormatInt(max(0, cold.Milliseconds()), 10))
		return
	}
	ctx.Response.Header.SetBytesV(names.RequestID, ctx.Request.Header.Peek(names.RequestID))
	if string(ctx.Request.Header.Peek(names.ExpectUpstream)) != id {
		ctx.Response.Header.Set(names.UpstreamID, id)
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if !u.enter() {
		ctx.Response.Header.Set(names.NotExecuted, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.run(ctx, id, cold > 0)
}

// enter waits for a slot; it reports false when the queue is full.
func (u *upstream) enter() bool {
	u.mu.Lock()
	if u.waiting >= queueLength {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	u.slots <- struct{}{}
	u.mu.Lock()
	u.waiting--
	u.mu.Unlock()
	return true
}

func (u *upstream) run(ctx *fasthttp.RequestCtx, id string, cold bool) {
	names := &platform.Headers
	u.mu.Lock()
	u.runs++
	stamp := fmt.Sprintf("%s.%d", id, u.runs)
	u.mu.Unlock()
	seen := order{
		id: string(ctx.Request.Header.Peek(names.RequestID)), method: string(ctx.Method()),
		path: string(ctx.RequestURI()), team: string(ctx.Request.Header.Peek(names.Team)),
		callerWorker: string(ctx.Request.Header.Peek(names.CallerService)),
	}
	keyed := len(ctx.Request.Header.Peek(names.APIKey)) > 0
	u.ledger.ran(seen, u.service, keyed, cold, run{at: time.Now(), upstream: id, stamp: stamp, status: fasthttp.StatusOK})
	time.Sleep(u.random.duration(shortestRun, longestRun))
	status := fasthttp.StatusOK
	if !strings.HasPrefix(seen.path, innerPath) && u.random.chance(innerShare) && !u.call(seen.id) {
		status = fasthttp.StatusInternalServerError
	}
	u.ledger.finished(seen.id, stamp, status)
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(names.UpstreamStamp, stamp)
	ctx.SetBodyString(bodyOf(seen.id, stamp))
}

// call makes a call of a running request to the node beside the upstream.
func (u *upstream) call(parent string) bool {
	o := order{
		id: parent + ".1-" + strconv.Itoa(u.random.number(1<<30)), method: fasthttp.MethodGet,
		callerWorker: u.service, services: []string{serviceBeta}, idempotent: true,
	}
	o.path = innerPath + o.id
	return send(u.caller, u.ledger, o, "", innerDeadline) == fasthttp.StatusOK
}

// bodyOf is the body of a run; it names the request and the run, so a body of another one shows.
func bodyOf(id, stamp string) string {
	return (id + " " + stamp + " " + strings.Repeat("x", bodySize))[:bodySize]
}
