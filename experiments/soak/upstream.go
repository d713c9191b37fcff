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
	"github.com/bamboodeal/bamboodeal/pkg/peer"
	"github.com/bamboodeal/bamboodeal/platform"
	"github.com/bamboodeal/bamboodeal/platform/platformtest"
)

const (
	// slotCount is the number of requests that an upstream executes at the same time.
	slotCount = 4
	// queueLength is the number of requests that wait for a slot; further ones are refused.
	queueLength       = 16
	heartbeatInterval = 500 * time.Millisecond
	// coldStartDuration is how long a new upstream stays cold, coldRequestsPerSecond the rate that it bears meanwhile.
	coldStartDuration     = 2 * time.Second
	coldRequestsPerSecond = 20
	// minExecutionTime and maxExecutionTime bound the random duration of an execution.
	minExecutionTime = 5 * time.Millisecond
	maxExecutionTime = 40 * time.Millisecond
	// senderCheckInterval is how often an execution checks that its request's connection is still open.
	senderCheckInterval = 5 * time.Millisecond
	// drainDuration is how long an upstream still serves requests after it announced that it leaves.
	drainDuration = 2 * time.Second
	// nestedCallShare is the part of the executions that make a call themselves, and nestedPathPrefix the path of these
	// calls, whose executions make no further call.
	nestedCallShare = 0.3
	// responseBodySize is in bytes.
	responseBodySize = 600
	healthPath       = "/health"
	nestedPathPrefix = "/inner/"
)

// upstreamStandIn stands in for the program beside a node. It publishes its entry in the store and records each
// execution in the ledger. The stand-in is one server whose instances replace one another: each instance has an ID and
// an entry of its own.
type upstreamStandIn struct {
	vm      *vm
	service string
	store   *platformtest.Store
	ledger  *ledger
	random  *randomSource
	server  *fasthttp.Server
	client  *fasthttp.HostClient

	slots chan struct{}
	// pace is nil except in a demand run.
	pace *pace

	mu             sync.Mutex
	id             string
	startedAt      time.Time
	coldUntil      time.Time
	draining       bool
	sequence       int64
	queued         int
	executionCount int
	stopHeartbeats chan struct{}
}

// newUpstreamStandIn returns an upstream stand-in that does not listen yet.
func newUpstreamStandIn(v *vm, service string, store *platformtest.Store, l *ledger, random *randomSource) *upstreamStandIn {
	silentLog := logrus.New()
	silentLog.SetLevel(logrus.PanicLevel)
	u := &upstreamStandIn{
		vm: v, service: service, store: store, ledger: l, random: random, slots: make(chan struct{}, slotCount),
		client: &fasthttp.HostClient{Addr: v.settings.CallerAddress, MaxIdemponentCallAttempts: 1, MaxConns: 64},
	}
	u.server = &fasthttp.Server{Handler: u.handle, Logger: silentLog, NoDefaultServerHeader: true}
	return u
}

// serve listens on address and starts the first instance, which is warm.
func (u *upstreamStandIn) serve(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() {
		if err := u.server.Serve(l); err != nil {
			u.ledger.addViolation("harness", "an upstream stand-in failed: %v", err)
		}
	}()
	u.startInstance(time.Time{})
	return nil
}

// startInstance starts a new instance of the upstream and publishes its entry at every heartbeat.
func (u *upstreamStandIn) startInstance(coldUntil time.Time) {
	u.mu.Lock()
	u.startedAt = time.Now()
	u.id = fmt.Sprintf("i-%s-%x", u.vm.name, u.startedAt.UnixMicro())
	u.coldUntil, u.draining, u.sequence = coldUntil, false, 0
	u.stopHeartbeats = make(chan struct{})
	stopHeartbeats := u.stopHeartbeats
	u.mu.Unlock()
	u.publishEntry()
	go func() {
		tick := time.NewTicker(heartbeatInterval)
		defer tick.Stop()
		for {
			select {
			case <-stopHeartbeats:
				return
			case <-tick.C:
				u.publishEntry()
			}
		}
	}()
}

// publishEntry writes the entry of the current instance to the store.
func (u *upstreamStandIn) publishEntry() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	value, err := platformtest.EncodeUpstream(&mesh.Upstream{
		Service: u.service, Address: u.vm.settings.UpstreamAddress, DataCentre: u.vm.settings.DataCentre, Slots: slotCount,
		Draining: u.draining, ColdRemaining: max(0, time.Until(u.coldUntil)), Sequence: u.sequence, StartedAtMS: u.startedAt.UnixMilli(),
	})
	if err != nil {
		u.ledger.addViolation("harness", "cannot encode an upstream: %v", err)
		return
	}
	u.store.Put(platformtest.UpstreamKey(u.id), value)
}

// replaceInstance replaces the current instance by a new, cold one after drainDuration. With notice, the old instance
// first announces that it is draining; without, its entry is deleted at once. In both cases it serves requests until
// then.
func (u *upstreamStandIn) replaceInstance(notice bool) {
	u.mu.Lock()
	id, stopHeartbeats := u.id, u.stopHeartbeats
	u.draining = notice
	u.mu.Unlock()
	if notice {
		u.publishEntry()
	} else {
		u.store.Delete(platformtest.UpstreamKey(id))
	}
	close(stopHeartbeats)
	time.Sleep(drainDuration)
	u.store.Delete(platformtest.UpstreamKey(id))
	u.startInstance(time.Now().Add(coldStartDuration))
}

// handle answers health checks, refuses requests for another instance with status 421 and executes the others.
func (u *upstreamStandIn) handle(ctx *fasthttp.RequestCtx) {
	names := &platform.Headers
	u.mu.Lock()
	id, coldRemaining := u.id, time.Until(u.coldUntil)
	u.mu.Unlock()
	defer u.reportLoad(ctx)
	if string(ctx.Path()) == healthPath {
		ctx.Response.Header.Set(names.UpstreamID, id)
		ctx.Response.Header.Set(names.ColdRemainingMS, strconv.FormatInt(max(0, coldRemaining.Milliseconds()), 10))
		return
	}
	ctx.Response.Header.SetBytesV(names.RequestID, ctx.Request.Header.Peek(names.RequestID))
	if string(ctx.Request.Header.Peek(names.ExpectUpstream)) != id {
		ctx.Response.Header.Set(names.UpstreamID, id)
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if !u.acquireSlot() {
		ctx.Response.Header.Set(names.NotExecuted, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.execute(ctx, id, coldRemaining > 0)
}

// reportLoad states the present load in a response.
func (u *upstreamStandIn) reportLoad(ctx *fasthttp.RequestCtx) {
	u.mu.Lock()
	queued := u.queued
	u.mu.Unlock()
	u.pace.setLoadHeader(&ctx.Response, len(u.slots), queued)
}

// acquireSlot waits for a slot. It returns false when the queue is full.
func (u *upstreamStandIn) acquireSlot() bool {
	u.mu.Lock()
	if u.queued >= queueLength {
		u.mu.Unlock()
		return false
	}
	u.queued++
	u.mu.Unlock()
	u.slots <- struct{}{}
	u.mu.Lock()
	u.queued--
	u.mu.Unlock()
	return true
}

// execute executes a request: it records the execution, takes a random time, may make a nested call and responds.
func (u *upstreamStandIn) execute(ctx *fasthttp.RequestCtx, id string, cold bool) {
	names := &platform.Headers
	u.mu.Lock()
	u.executionCount++
	stamp := fmt.Sprintf("%s.%d", id, u.executionCount)
	u.mu.Unlock()
	received := requestSpec{
		id: string(ctx.Request.Header.Peek(names.RequestID)), method: string(ctx.Method()),
		path: string(ctx.RequestURI()), team: string(ctx.Request.Header.Peek(names.Team)),
		callerWorker: string(ctx.Request.Header.Peek(names.CallerService)),
	}
	hasKey := len(ctx.Request.Header.Peek(names.APIKey)) > 0
	u.ledger.recordExecution(received, u.service, hasKey, cold, execution{
		at: time.Now(), upstream: id, stamp: stamp, status: fasthttp.StatusOK,
	})
	if strings.HasPrefix(received.path, uploadPathPrefix) && !isUploadBody(received.id, ctx.PostBody()) {
		u.ledger.addViolation("unasked", "%s received a body of %d bytes that is not that of %s", id, len(ctx.PostBody()), received.id)
	}
	status := fasthttp.StatusOK
	duration := u.pace.executionTime(received.path, u.vm.soak.dense.Load(), u.executionTime())
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(names.DeadlineMS))); err == nil && duration > time.Duration(ms)*time.Millisecond {
		// An upstream stops work at the deadline that it is given.
		duration, status = time.Duration(ms)*time.Millisecond, fasthttp.StatusGatewayTimeout
	}
	sender := peer.NewCaller(ctx.Conn())
	if !waitWhileConnected(sender, duration) {
		u.ledger.recordExecutionEnd(received.id, stamp, status, true)
		return
	}
	if status == fasthttp.StatusOK && !strings.HasPrefix(received.path, nestedPathPrefix) {
		for calls := u.pace.nestedCalls(u.random, u.vm.soak.dense.Load()); calls > 0 && status == fasthttp.StatusOK; calls-- {
			if !u.makeNestedCall(received.id) {
				status = fasthttp.StatusInternalServerError
			}
		}
	}
	u.ledger.recordExecutionEnd(received.id, stamp, status, !sender.Connected())
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(names.UpstreamStamp, stamp)
	ctx.SetBodyString(responseBody(received.id, stamp))
}

// executionTime returns the random duration of an execution.
func (u *upstreamStandIn) executionTime() time.Duration {
	if u.pace == nil && u.vm.soak.dense.Load() && u.random.trueWithProbability(longExecutionShare) {
		return u.random.durationBetween(minLongExecutionTime, maxLongExecutionTime)
	}
	return u.random.durationBetween(minExecutionTime, maxExecutionTime)
}

// waitWhileConnected waits for the given time. It returns false as soon as it notices that the sender has closed the
// connection, at which most upstreams drop a request.
func waitWhileConnected(sender peer.Caller, duration time.Duration) bool {
	for until := time.Now().Add(duration); time.Now().Before(until); {
		time.Sleep(min(senderCheckInterval, time.Until(until)))
		if !sender.Connected() {
			return false
		}
	}
	return true
}

// makeNestedCall sends a request on behalf of the execution of the request parentID to the node beside the upstream. It
// reports whether the response has status 200.
func (u *upstreamStandIn) makeNestedCall(parentID string) bool {
	spec := requestSpec{
		id: parentID + ".1-" + strconv.Itoa(u.random.intN(1<<30)), method: fasthttp.MethodGet,
		callerWorker: u.service, services: []string{serviceBeta}, idempotent: true, entry: u.vm.name,
	}
	spec.path = nestedPathPrefix + spec.id
	return sendRequest(u.client, u.ledger, spec, "", nestedCallDeadline) == fasthttp.StatusOK
}

// responseBody returns the body of the response of an execution. It contains the IDs of the request and of the
// execution, so that a response that belongs to another request is detected.
func responseBody(id, stamp string) string {
	return (id + " " + stamp + " " + strings.Repeat("x", responseBodySize))[:responseBodySize]
}
