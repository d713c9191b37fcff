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

// EventExecutor carries out the events of a trace.
type EventExecutor interface {
	// Execute returns when the event has happened, with the time at which it did.
	Execute(ctx context.Context, e trace.Event) (EventResult, error)
}

// Options configures a Replay.
type Options struct {
	Trace *trace.Trace
	Nodes []Node
	// Secrets are the keys by id.
	Secrets map[string]string
	// EventExecutor carries out the events; nil skips them.
	EventExecutor EventExecutor
	// AttemptTimeout bounds one attempt; 0 means 5 s.
	AttemptTimeout time.Duration
	// RetryFor bounds the time from the first to the last attempt of a call; it must be under the nodes'
	// identity retention time. 0 means 3 s.
	RetryFor time.Duration
}

// Progress counts what happened so far.
type Progress struct {
	Started, Finished, Served atomic.Int64
}

// Replay replays one trace.
type Replay struct {
	options  Options
	client   *client
	Progress Progress

	mu    sync.Mutex
	moves []EventResult
	errs  []error
}

// ErrInvalidOptions means that a replay cannot start.
var ErrInvalidOptions = errors.New("the replay cannot start")

// NewReplay checks the options.
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

// Run starts each call at its time whatever became of the earlier ones, carries out the events, and returns
// when all are finished. It returns what happened so far with the error when the context ends.
func (r *Replay) Run(ctx context.Context) ([]CallResult, []EventResult, error) {
	defer r.client.close()
	start := time.Now()
	calls := r.options.Trace.Calls
	results := make([]CallResult, len(calls))
	var tasks conc.WaitGroup
	tasks.Go(func() { r.events(ctx, start) })
	for i := range calls {
		if !sleepUntil(ctx, start.Add(calls[i].At())) {
			break
		}
		r.Progress.Started.Add(1)
		tasks.Go(func() {
			results[i] = *r.caller(&calls[i]).run(&calls[i])
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
	return finished, r.moves, errors.Join(append(r.errs, ctx.Err())...)
}

// events carries out each event at its time; one that takes long does not delay the next.
func (r *Replay) events(ctx context.Context, start time.Time) {
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
			move, err := r.options.EventExecutor.Execute(ctx, e)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.moves = append(r.moves, move)
			if err != nil {
				r.errs = append(r.errs, err)
			}
		})
	}
}

// caller spreads the pauses of different calls between 50 and 250 ms by their identity.
func (r *Replay) caller(call *trace.Call) *caller {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(call.ID))
	return &caller{
		client:   r.client,
		nodes:    r.options.Nodes,
		secret:   r.options.Secrets[call.KeyID],
		limit:    r.options.AttemptTimeout,
		retryFor: r.options.RetryFor,
		pause:    time.Duration(50+hash.Sum32()%200) * time.Millisecond,
		sleep:    time.Sleep,
	}
}

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
