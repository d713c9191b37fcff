package sidecar

import (
	"cmp"
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// writeTimeout bounds the time in which a receiver has to take a response that is complete at the node, so that a
	// receiver that does not read does not keep the response in memory.
	writeTimeout = 30 * time.Second
	// idleCheckInterval is the time between two checks of the idle connections. Each check costs a system call for each
	// connection.
	idleCheckInterval = 5 * time.Second
	// defaultMemoryLimit is the memory of the smallest VMs in bytes. It is used if the settings give no limit.
	defaultMemoryLimit = 184 << 20
	// responseBodiesPercent and requestBodiesPercent are the parts of the VM's memory, in percent, that bodies of
	// responses and of requests may use at once. The soft memory limit of the Go runtime is 60%. While a body grows, its
	// old buffer, of up to half the size, is still in memory, and the rest is for the state of the node.
	responseBodiesPercent = 20
	requestBodiesPercent  = 15
	// askedBodyBytes is the size in bytes from which the body of a request is sent to another node only once that node
	// asks for it, so that a refused request moves no body. Below it, the time of one more exchange costs more than the
	// bytes. Bodies of requests that may run only once are held back whatever their size: if the node turns out to be
	// dead, the request has certainly not run and can be sent to another one.
	askedBodyBytes = 16 << 10
	// bodiesRetryAfter is the Retry-After of a request whose body does not fit. Bodies are held for as long as a
	// request takes.
	bodiesRetryAfter = 300 * time.Millisecond
	// maxHeldFailureBody is the size in bytes of the largest body of an error response that is held while another
	// attempt is made. The node's budget does not count held responses, so a larger one is delivered at once.
	maxHeldFailureBody = peer.UncountedBodyBytes
)

// newBodyBudget returns a budget of the given part of the VM's memory for all bodies of requests or of responses.
func newBodyBudget(s *Settings, percent int64) *peer.BodyBudget {
	return peer.NewBodyBudget(cmp.Or(s.MemoryLimit, defaultMemoryLimit) * percent / 100)
}

// callerBodyTime returns the time within which the body of a caller's request has to arrive: there is no use for it
// after the caller's deadline.
func (n *Node) callerBodyTime(req *fasthttp.Request) time.Duration {
	if allowed, ok := n.callerTime(req); ok {
		return allowed
	}
	return readTimeout
}

// forwardedBodyTime is callerBodyTime for a request that another node forwards.
func (n *Node) forwardedBodyTime(req *fasthttp.Request) time.Duration {
	if metadata, err := parseRequestMetadata(req.Header.Peek(hopHeader)); err == nil {
		return max(metadata.remaining, 0)
	}
	return readTimeout
}

// refuseCallerBody answers a caller whose request body does not fit.
func (n *Node) refuseCallerBody(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(n.o.Headers.RequestID))
	n.recorder.recordRefusedBody(id, ctx.Request.Header.ContentLength(), n.requestBodies.Used())
	writeError(&ctx.Response, ReasonBodiesTooLarge, bodiesRetryAfter)
	if id != "" {
		ctx.Response.Header.Set(n.o.Headers.RequestID, id)
	}
}

// refuseForwardedBody answers a node whose request body does not fit. The node may ask another one.
func (n *Node) refuseForwardedBody(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(n.o.Headers.RequestID))
	n.recorder.recordRefusedBody(id, ctx.Request.Header.ContentLength(), n.requestBodies.Used())
	a := attemptResult{outcome: outcomeNotRun, reason: ReasonBodiesTooLarge, load: n.controller.queue.load(), retryAfter: bodiesRetryAfter}
	a.setHeader(&ctx.Response)
}

// countBodies counts large bodies of responses in the node's budget until they are written.
func (n *Node) countBodies(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		n.responseBodies.HoldUntilWritten(&ctx.Response)
	}
}

// closeUnusableConnections closes idle connections to the upstream and to other nodes that will not be used again, until
// ctx ends. Bytes that arrive on them without end would fill the memory of the VM.
func (n *Node) closeUnusableConnections(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.controller.pool.CloseUnusableConnections()
			n.peerPool.CloseUnusableConnections()
		}
	}
}
