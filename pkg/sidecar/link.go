package sidecar

import (
	"cmp"
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/transfer"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// defaultLinkMbps is the rate of the VM's network link in Mbit/s if the settings give none.
const defaultLinkMbps = 1000

// inboundLink lets goroutines wait until the body of a request may be sent to this VM.
type inboundLink struct {
	clock  clock.Clock
	mu     sync.Mutex
	link   *transfer.Link
	nextID uint64
	// waiting has a channel for each waiting transfer, by ID, which is closed when the transfer starts.
	waiting map[uint64]chan struct{}
}

func newInboundLink(c clock.Clock, mbps float64) *inboundLink {
	return &inboundLink{clock: c, link: transfer.NewLink(cmp.Or(mbps, defaultLinkMbps)), waiting: map[uint64]chan struct{}{}}
}

// acquire returns when the transfer may start, which finish must end, or is refused. after is the time after which a
// refused one is expected to fit. onWait is called if the transfer has to wait; it may be nil.
func (l *inboundLink) acquire(r transfer.Request, caller peer.Caller, onWait func()) (started bool, after time.Duration) {
	l.mu.Lock()
	l.nextID++
	r.ID = l.nextID
	decision := l.link.Submit(l.clock.Now(), r)
	var start chan struct{}
	if decision.Queued {
		start = make(chan struct{})
		l.waiting[r.ID] = start
	}
	l.mu.Unlock()
	if start == nil {
		return decision.Started, decision.RetryAfter
	}
	if onWait != nil {
		onWait()
	}
	timer := time.NewTimer(min(callerCheckInterval, r.Deadline-l.clock.Now()))
	defer timer.Stop()
	for {
		select {
		case <-start:
			return true, 0
		case <-timer.C:
		}
		left := r.Deadline - l.clock.Now()
		if left <= 0 || !caller.Connected() {
			return l.cancel(r.ID, start), 0
		}
		timer.Reset(min(callerCheckInterval, left))
	}
}

// cancel removes a waiting transfer, unless it has started in the meantime, which it then returns.
func (l *inboundLink) cancel(id uint64, start chan struct{}) (started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-start:
		return true
	default:
	}
	delete(l.waiting, id)
	l.start(l.link.Cancel(id))
	return false
}

// finish ends a transfer that has started.
func (l *inboundLink) finish(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(l.link.Finish(bytes))
}

// start wakes up the goroutines of transfers that start. l.mu is held.
func (l *inboundLink) start(ids []uint64) {
	for _, id := range ids {
		close(l.waiting[id])
		delete(l.waiting, id)
	}
}
