package load

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// probeLimit bounds one probe call, probePause is the time between two probes of a node.
const (
	probeLimit = 2 * time.Second
	probePause = 20 * time.Millisecond
)

// Prober watches from outside how nodes behave, by public calls with a key. Its connections stay open, so it
// also sees whether a change applies to open connections.
type Prober struct {
	// Path is an idempotent public GET route.
	Path   string
	client *client
}

// NewProber returns a prober for a path.
func NewProber(path string) *Prober { return &Prober{Path: path, client: newClient()} }

// Close closes the connections.
func (p *Prober) Close() { p.client.close() }

// Probe makes one call and returns the kind of its outcome: Served, NotSent, NoAnswer, OtherStatus or the
// kind in the node's error body.
func (p *Prober) Probe(node Node, secret string) wire.ErrorKind {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + node.CallerAddress + p.Path)
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set(upstream.HeaderToken, "probe")
	request.Header.Set(upstream.HeaderWork, "0")
	err := p.client.do(node.CallerAddress, request, response, probeLimit)
	var body wire.ErrorBody
	switch {
	case errors.Is(err, errNotSent):
		return KindNotSent
	case err != nil:
		return KindNoAnswer
	case response.StatusCode() < 300:
		return KindServed
	case json.Unmarshal(response.Body(), &body) != nil || body.Error.Kind == "":
		return KindOtherStatus
	}
	return body.Error.Kind
}

// AwaitOutcome probes each node until its outcome is accepted, and returns the time from since to the end of that
// probe by node. Nodes that excused reports at the end, or that never came to it, are left out of converged;
// the latter are in pending.
func (p *Prober) AwaitOutcome(
	ctx context.Context, nodes []Node, secret string, since time.Time,
	accept func(wire.ErrorKind) bool, excused func(Node) bool,
) (converged map[string]time.Duration, pending []string) {
	var mu sync.Mutex
	var tasks conc.WaitGroup
	converged = map[string]time.Duration{}
	for _, node := range nodes {
		tasks.Go(func() {
			took, ok := p.awaitOne(ctx, node, secret, since, accept)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case excused(node):
			case ok:
				converged[node.Name] = took
			default:
				pending = append(pending, node.Name)
			}
		})
	}
	tasks.Wait()
	return converged, pending
}

func (p *Prober) awaitOne(
	ctx context.Context, node Node, secret string, since time.Time, accept func(wire.ErrorKind) bool,
) (time.Duration, bool) {
	for ctx.Err() == nil {
		if accept(p.Probe(node, secret)) {
			return time.Since(since), true
		}
		sleepUntil(ctx, time.Now().Add(probePause))
	}
	return 0, false
}
