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
	// bodyBudgetPercent is the part of the VM's memory, in percent, that response bodies may use at once. The soft
	// memory limit of the Go runtime is 60%. While a body grows, its old buffer, of up to half the size, is still in
	// memory, and the rest is for requests and for the state of the node.
	bodyBudgetPercent = 25
	// maxHeldFailureBody is the size in bytes of the largest body of an error response that is held while another
	// attempt is made. The node's budget does not count held responses, so a larger one is delivered at once.
	maxHeldFailureBody = peer.UncountedBodyBytes
)

// newBodyBudget returns the budget for all responses that a node reads from its upstream and from other nodes.
func newBodyBudget(s *Settings) *peer.BodyBudget {
	return peer.NewBodyBudget(cmp.Or(s.MemoryLimit, defaultMemoryLimit) * bodyBudgetPercent / 100)
}

// countBodies counts large bodies of responses in the node's budget until they are written.
func (n *Node) countBodies(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		n.bodyBudget.HoldUntilWritten(&ctx.Response)
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
