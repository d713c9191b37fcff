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

// baselinePause is the time between two calls of a baseline, baselineWork the work of each in microseconds.
const (
	baselinePause = 20 * time.Millisecond
	baselineWork  = 4000
)

// Baseline measures what the callers and stand-ins themselves add to a call, on the same machine and at the same
// time as a replay: it calls a stand-in upstream without any node between.
type Baseline struct {
	server  *upstream.Server
	address string
	added   *hdrhistogram.Histogram
}

// NewBaseline starts the upstream on address.
func NewBaseline(address string) (*Baseline, error) {
	b := &Baseline{server: upstream.New(upstream.Options{Name: "baseline", Address: address}), added: newHistogram()}
	bound, _, err := b.server.Listen()
	b.address = bound
	return b, err
}

// Run calls the upstream until ctx ends.
func (b *Baseline) Run(ctx context.Context) {
	c := &caller{
		client: newClient(), nodes: []Node{{Name: "baseline", CallerAddress: b.address}},
		limit: time.Second, sleep: time.Sleep,
	}
	defer c.client.close()
	for n := 0; sleepUntil(ctx, time.Now().Add(baselinePause)); n++ {
		call := &trace.Call{
			ID: fmt.Sprintf("baseline-%d", n), Method: http.MethodGet, Path: "/", AnswerBytes: 1000,
			WorkUS: baselineWork, MaxAttempts: 1,
		}
		last := c.run(call).LastAttempt()
		if own := b.server.LastRecord(); last.Kind == KindServed && own.Token == last.Token {
			record(b.added, last.Done.Sub(last.Sent)-own.End.Sub(own.Start))
		}
	}
}

// Close stops the upstream.
func (b *Baseline) Close() { _ = b.server.Close() }

// AddedLatency returns the median and the 99th percentile of the added time in milliseconds, once Run has returned.
func (b *Baseline) AddedLatency() (p50, p99 float64) {
	return milliseconds(b.added, 50), milliseconds(b.added, 99)
}
