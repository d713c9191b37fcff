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

// probeTimeout bounds each probe call; probePause is the time between two probes of a node.
const (
	probeTimeout = 2 * time.Second
	probePause   = 20 * time.Millisecond
)

// Prober observes the behaviour of nodes from outside, through calls of a public route with a key. It keeps its
// connections open, so that it also shows whether a configuration change applies to open connections.
type Prober struct {
	// Path is a path of an idempotent public route with the method GET.
	Path   string
	client *client
}

// NewProber returns a Prober that calls path.
func NewProber(path string) *Prober { return &Prober{Path: path, client: newClient()} }

// Close closes the connections.
func (p *Prober) Close() { p.client.close() }

// Probe makes one call with the key secret and returns its outcome: KindServed, KindNotSent, KindNoAnswer,
// KindOtherStatus or the kind in the error body that the node returned.
func (p *Prober) Probe(node Node, secret string) wire.ErrorKind {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + node.CallerAddress + p.Path)
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set(upstream.HeaderToken, "probe")
	request.Header.Set(upstream.HeaderWork, "0")
	err := p.client.do(node.CallerAddress, request, response, probeTimeout)
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

// AwaitOutcome probes each node until accept returns true for the outcome, or until ctx ends. In converged it returns,
// by node name, the time from since to the end of the accepted probe; in pending the names of the nodes without an
// accepted probe. Nodes for which ignored returns true at the end are in neither.
func (p *Prober) AwaitOutcome(
	ctx context.Context, nodes []Node, secret string, since time.Time,
	accept func(wire.ErrorKind) bool, ignored func(Node) bool,
) (converged map[string]time.Duration, pending []string) {
	var mu sync.Mutex
	var tasks conc.WaitGroup
	converged = map[string]time.Duration{}
	for _, node := range nodes {
		tasks.Go(func() {
			took, ok := p.awaitNodeOutcome(ctx, node, secret, since, accept)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case ignored(node):
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

func (p *Prober) awaitNodeOutcome(
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
