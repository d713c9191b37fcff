package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// baselinePause is the time between two baseline calls; baselineWorkUS is the work of each call at the upstream, in
// microseconds.
const (
	baselinePause  = 20 * time.Millisecond
	baselineWorkUS = 4000
)

// Baseline measures the latency that the caller, the stand-in upstream and the machine add to a call when there is no
// node between them. It runs on the same machine and at the same time as a replay, so that its result can be compared
// with the latency that the replay measures.
type Baseline struct {
	server       *upstream.Server
	address      string
	addedLatency *hdrhistogram.Histogram
}

// NewBaseline starts the stand-in upstream on address. Run measures and Close stops the upstream.
func NewBaseline(address string) (*Baseline, error) {
	b := &Baseline{server: upstream.New(upstream.Options{Name: "baseline", Address: address}), addedLatency: newHistogram()}
	bound, _, err := b.server.Listen()
	b.address = bound
	return b, err
}

// Run calls the upstream, one call after the other, until ctx ends.
func (b *Baseline) Run(ctx context.Context) {
	c := &caller{
		client: newClient(), nodes: []Node{{Name: "baseline", CallerAddress: b.address}},
		attemptTimeout: time.Second, sleep: time.Sleep,
	}
	defer c.client.close()
	for n := 0; sleepUntil(ctx, time.Now().Add(baselinePause)); n++ {
		call := &trace.Call{
			ID: fmt.Sprintf("baseline-%d", n), Method: http.MethodGet, Path: "/", AnswerBytes: 1000,
			WorkUS: baselineWorkUS, MaxAttempts: 1,
		}
		attempt := c.callWithRetries(call).LastAttempt()
		if upstreamRecord := b.server.LastRecord(); attempt.Kind == KindServed && upstreamRecord.Token == attempt.Token {
			recordLatency(b.addedLatency, attempt.Done.Sub(attempt.Sent)-upstreamRecord.End.Sub(upstreamRecord.Start))
		}
	}
}

// Close stops the upstream.
func (b *Baseline) Close() { _ = b.server.Close() }

// AddedLatency returns the median and the 99th percentile, in milliseconds, of the time that a call took at the caller
// minus the time that it took at the upstream. Call it only after Run has returned.
func (b *Baseline) AddedLatency() (p50, p99 float64) {
	return percentileMS(b.addedLatency, 50), percentileMS(b.addedLatency, 99)
}
