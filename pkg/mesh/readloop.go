package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/decision/sources"
)

// errNoAnswer means that a source has not answered within the limits of a read.
var errNoAnswer = eris.New("the source did not answer in time; trying another one")

// readResult is the outcome of one read.
type readResult struct {
	// number tells the reads of a node apart. It starts at 1.
	number uint64
	source string
	delta  Delta
	err    error
}

// readLoop starts one read after the other. A read that takes too long is given up, so that another source can be tried, but
// its answer is still used if it arrives later.
type readLoop struct {
	syncer  *Syncer
	results chan readResult
	// nextRead fires when the next read is due, noAnswer when the current one is given up.
	nextRead, noAnswer *time.Timer
	// current is the read that the node waits for, without its outcome. Its number is 0 between two reads.
	current    readResult
	startedAt  time.Duration
	reads      uint64
	retryDelay time.Duration
}

// Run reads from the store or other nodes and updates the view until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	loop := readLoop{
		syncer: s, results: make(chan readResult), nextRead: time.NewTimer(0), noAnswer: time.NewTimer(0), retryDelay: initialRetryDelay,
	}
	loop.noAnswer.Stop()
	defer loop.noAnswer.Stop()
	defer loop.nextRead.Stop()
	expire := time.NewTicker(removalCheckInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-loop.nextRead.C:
			loop.startRead(ctx)
		case <-loop.noAnswer.C:
			result := loop.current
			result.err = errNoAnswer
			loop.endRead(result)
		case result := <-loop.results:
			if result.number == loop.current.number {
				loop.endRead(result)
			} else {
				s.handleLateResult(result)
			}
		case <-expire.C:
			now := s.options.Clock.Now()
			if s.registry.ApplyDueRemovals(now) {
				s.publish()
			}
			s.uninterrupted.Store(s.registry.ContactUninterrupted(now))
		}
	}
}

// startRead starts the next read.
func (l *readLoop) startRead(ctx context.Context) {
	s := l.syncer
	l.startedAt = s.options.Clock.Now()
	if s.disputed.Swap(false) {
		s.settleDispute(l.startedAt, "a follower")
	}
	source := s.nextSource(l.startedAt)
	position := s.position(source)
	limits := s.sources.Limits(source, s.StoreAge(), position.Revision == 0)
	l.reads++
	l.current = readResult{number: l.reads, source: source}
	l.noAnswer.Reset(limits.Timeout)
	go func(read readResult) {
		select {
		case l.results <- s.read(read, position, limits.Wait):
		case <-ctx.Done():
		}
	}(l.current)
}

// endRead handles the outcome of the current read and schedules the next one.
func (l *readLoop) endRead(result readResult) {
	s := l.syncer
	l.current = readResult{}
	l.noAnswer.Stop()
	err := s.handleResult(result)
	untilInterval := max(0, s.readInterval(result.source)-(s.options.Clock.Now()-l.startedAt))
	switch {
	case err == nil:
		l.retryDelay = initialRetryDelay
		l.nextRead.Reset(untilInterval)
	case errors.Is(err, ErrEraChanged):
		l.nextRead.Reset(untilInterval + rand.N(eraReadJitter))
	default:
		l.nextRead.Reset(s.retryPause(err, l.retryDelay))
		if result.source == sources.Store {
			l.retryDelay = min(2*l.retryDelay, maxRetryDelay)
		}
	}
}

// readInterval returns the shortest time between the starts of two reads. It is longer while the mesh starts, because
// then all nodes read the store and each upstream that registers causes a change.
func (s *Syncer) readInterval(source string) time.Duration {
	switch {
	case source != sources.Store:
		return minReadInterval
	case s.View().OwnUpstream == nil:
		return startReadInterval
	}
	return minStoreReadInterval
}

// retryPause returns the time until the next read after a failed one.
func (s *Syncer) retryPause(err error, delay time.Duration) time.Duration {
	if errors.Is(err, ErrOlderEra) || s.options.Clock.Now() < s.avoidStoreUntil {
		delay = max(delay, olderEraDelay)
	}
	return delay/2 + rand.N(delay/2)
}

// read reads from the source of the result and returns the result with the outcome.
func (s *Syncer) read(result readResult, after Position, wait time.Duration) readResult {
	source := s.options.Store
	if result.source != sources.Store {
		source = s.options.PeerSource(result.source)
	}
	startedAt := s.options.Clock.Now()
	result.delta, result.err = source.Read(after, wait)
	result.delta.Whole = after.Revision == 0
	if result.delta.Whole {
		// All entries are sent without a wait.
		wait = 0
	}
	// What the answer took beyond the wait, on a slow link or at a busy node, adds to the age that it states.
	result.delta.StoreAge += max(0, s.options.Clock.Now()-startedAt-wait)
	if result.err == nil && result.source != sources.Store && result.delta.StoreAge > s.budget.MaxStoreAge() {
		result.err = ErrReaderStale
	}
	return result
}

// handleLateResult uses an answer whose read was given up. An error is of no interest any more, nor is an answer that is
// behind: the feed is complete up to its revision.
func (s *Syncer) handleLateResult(result readResult) {
	d, has := result.delta, s.StoreStatus()
	if result.err != nil || (d.Era == has.Era && d.Revision < has.Revision) {
		return
	}
	if err := s.handleDelta(s.options.Clock.Now(), result); err != nil {
		s.options.Log.WithError(err).WithField("source", result.source).Debug("dropped a late answer")
	}
}
