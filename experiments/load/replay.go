package load

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// EventExecutor executes the events of a trace, for example by killing a node.
type EventExecutor interface {
	// Execute executes an event and returns its result when it has finished.
	Execute(ctx context.Context, e trace.Event) (EventResult, error)
}

// Options configures a Replay.
type Options struct {
	Trace *trace.Trace
	Nodes []Node
	// Secrets holds the secrets of the keys by key ID.
	Secrets map[string]string
	// EventExecutor executes the events; nil skips them.
	EventExecutor EventExecutor
	// AttemptTimeout bounds each attempt; 0 means 5 s.
	AttemptTimeout time.Duration
	// RetryFor bounds the time from the first to the last attempt of a call; 0 means 3 s. It must be shorter than the
	// time for which the nodes retain identities, so that they recognise the last attempt as a retry.
	RetryFor time.Duration
}

// Progress counts the calls of a replay that have started, finished and been served so far.
type Progress struct {
	Started, Finished, Served atomic.Int64
}

// Replay sends the calls of a trace to nodes and executes the events of the trace.
type Replay struct {
	options  Options
	client   *client
	Progress Progress

	mu           sync.Mutex
	eventResults []EventResult
	eventErrors  []error
}

// ErrInvalidOptions means that a replay cannot start because its options lack a node or the secret of a key.
var ErrInvalidOptions = errors.New("the replay cannot start")

// NewReplay checks the options and fills in the defaults. It returns ErrInvalidOptions if they are incomplete.
func NewReplay(o Options) (*Replay, error) {
	if len(o.Nodes) == 0 {
		return nil, errors.Join(ErrInvalidOptions, errors.New("give at least one node"))
	}
	for i := range o.Trace.Calls {
		key := o.Trace.Calls[i].KeyID
		if _, known := o.Secrets[key]; !known {
			return nil, errors.Join(ErrInvalidOptions, errors.New("give the secret of key "+key))
		}
	}
	if o.AttemptTimeout == 0 {
		o.AttemptTimeout = 5 * time.Second
	}
	if o.RetryFor == 0 {
		o.RetryFor = 3 * time.Second
	}
	return &Replay{options: o, client: newClient()}, nil
}

// Run starts each call at its time, even if earlier calls have not finished, executes the events, and returns when
// all calls and events have finished. The error joins the errors of the events and, if ctx has ended, its error. The
// results up to then are returned also with an error.
func (r *Replay) Run(ctx context.Context) ([]CallResult, []EventResult, error) {
	defer r.client.close()
	start := time.Now()
	calls := r.options.Trace.Calls
	results := make([]CallResult, len(calls))
	var tasks conc.WaitGroup
	tasks.Go(func() { r.executeEvents(ctx, start) })
	for i := range calls {
		if !sleepUntil(ctx, start.Add(calls[i].At())) {
			break
		}
		r.Progress.Started.Add(1)
		tasks.Go(func() {
			results[i] = *r.newCaller(&calls[i]).callWithRetries(&calls[i])
			r.Progress.Finished.Add(1)
			if results[i].LastAttempt().Kind == KindServed {
				r.Progress.Served.Add(1)
			}
		})
	}
	sleepUntil(ctx, start.Add(r.options.Trace.Duration()))
	tasks.Wait()
	finished := make([]CallResult, 0, len(results))
	for i := range results {
		if len(results[i].Attempts) > 0 {
			finished = append(finished, results[i])
		}
	}
	return finished, r.eventResults, errors.Join(append(r.eventErrors, ctx.Err())...)
}

// executeEvents executes each event at its time; a slow event does not delay the next one.
func (r *Replay) executeEvents(ctx context.Context, start time.Time) {
	if r.options.EventExecutor == nil {
		return
	}
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, e := range r.options.Trace.Events {
		if !sleepUntil(ctx, start.Add(e.At())) {
			return
		}
		tasks.Go(func() {
			result, err := r.options.EventExecutor.Execute(ctx, e)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.eventResults = append(r.eventResults, result)
			if err != nil {
				r.eventErrors = append(r.eventErrors, err)
			}
		})
	}
}

// newCaller returns the caller for a call. Its retry delay is between 50 and 250 ms and depends on the ID of the call,
// so that calls that fail at the same time are not retried at the same time.
func (r *Replay) newCaller(call *trace.Call) *caller {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(call.ID))
	return &caller{
		client:         r.client,
		nodes:          r.options.Nodes,
		secret:         r.options.Secrets[call.KeyID],
		attemptTimeout: r.options.AttemptTimeout,
		retryFor:       r.options.RetryFor,
		retryDelay:     time.Duration(50+hash.Sum32()%200) * time.Millisecond,
		sleep:          time.Sleep,
	}
}

// sleepUntil waits until at and returns true, or returns false when ctx ends earlier.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
