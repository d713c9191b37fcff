package sidecar

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// stopNoticePeriod is how long a stopping node accepts requests so that callers can learn that it stops. The
	// readiness check runs once a second, and two failures take the node out of use.
	stopNoticePeriod = 2800 * time.Millisecond
	// closeReserve is the part of the grace period in which the process ends after its last connection has been closed.
	// Of a short grace period it is maxCloseReserveShare.
	closeReserve         = 400 * time.Millisecond
	maxCloseReserveShare = 1.0 / 15
	// answerReserve is the time before the last connection is closed in which unfinished requests are answered. A
	// waiting request looks only every callerCheckInterval whether its answer is due.
	answerReserve = 2 * callerCheckInterval
	// minWorkShare is the share of the grace period in which no request is broken off. The rules of the platform allow
	// that in the last sixth.
	minWorkShare = 0.86
	// stopPollInterval is how often a stopping node checks whether requests are in progress, and closePollInterval how
	// often it checks whether the last answers have been written.
	stopPollInterval  = 50 * time.Millisecond
	closePollInterval = 10 * time.Millisecond
	// minStopTime is the least time until answersDue with which a stopping node accepts a request whose own deadline is
	// later. Most requests end within it.
	minStopTime = 500 * time.Millisecond
)

// stopTimes holds the times of a graceful stop on the process's clock.
type stopTimes struct {
	// noticeEnd is when the node stops accepting requests, except nested calls that end by their own deadline.
	noticeEnd time.Duration
	// answersDue is when each request gets its answer, even if it is unfinished.
	answersDue time.Duration
	// end is when the last connection is closed.
	end time.Duration
}

// newStopTimes returns the times of a stop that starts now, with the given grace period.
func newStopTimes(now, grace time.Duration) *stopTimes {
	share := func(f float64) time.Duration { return time.Duration(f * float64(grace)) }
	end := now + grace - min(closeReserve, share(maxCloseReserveShare))
	return &stopTimes{
		noticeEnd: now + min(stopNoticePeriod, grace/2), answersDue: max(end-answerReserve, now+share(minWorkShare)), end: end,
	}
}

// stop ends the work of the servers. The node is not ready from now on but accepts requests for stopNoticePeriod. Then
// it waits until no connection has a request that was read and not answered, closes the listeners, reads no further
// requests and writes the remaining answers. When it returns, all connections are closed. releaseBackground is called
// when the work in the background is no longer needed.
func (n *Node) stop(servers []*trackedServer, releaseBackground func()) {
	started := n.o.Clock.Now()
	times := newStopTimes(started, n.o.Settings.StopGracePeriod)
	n.stopTimes.Store(times)
	n.stopping.Store(true)
	n.o.Log.WithFields(n.stopFields()).Info("stopping: the node is no longer ready")
	time.Sleep(times.noticeEnd - started)
	n.controller.leaving.Store(true)
	// These would be refused when they got a slot. Now they have more time left for another upstream.
	n.controller.queue.refuseWaiting()
	releaseBackground()
	longestDelay := time.Duration(0)
	for n.connsInUse() > 0 && n.o.Clock.Now() < times.answersDue {
		longestDelay = max(longestDelay, n.sleep(stopPollInterval))
	}
	fields := n.stopFields()
	cut := n.closeServers(servers, times)
	fields["took_ms"] = (n.o.Clock.Now() - started).Milliseconds()
	fields["longest_delay_ms"] = longestDelay.Milliseconds()
	fields["cut"] = cut
	n.o.Log.WithFields(fields).Info("stopped")
}

// endBeforeStop adapts the deadline of a request that arrived at the given time to the end of a stopping node. It
// returns false if the request must be refused because it might not end before answersDue. In stopNoticePeriod, callers
// cannot know yet that the node stops, so a request with a later deadline is accepted and has to end earlier. After
// that, only a nested call is accepted that ends by its own deadline, because the rules of the platform do not excuse
// that a later request is broken off. The arrival decides, because the goroutine of stop may be scheduled late.
func (n *Node) endBeforeStop(arrived, deadline time.Duration, nested bool) (time.Duration, bool) {
	times := n.stopTimes.Load()
	if times == nil {
		return deadline, true
	}
	if n.controller.leaving.Load() || arrived >= times.noticeEnd {
		return deadline, nested && deadline <= times.answersDue
	}
	return min(deadline, times.answersDue), deadline <= times.answersDue || times.answersDue-arrived >= minStopTime
}

// answersDue reports whether a stopping node has to answer the requests that are unfinished.
func (n *Node) answersDue() bool {
	times := n.stopTimes.Load()
	return times != nil && n.o.Clock.Now() >= times.answersDue
}

// reasonOfUnfinished returns the reason with which a request ends whose processing ended with the given one. A request
// that was broken off because the node stops looks as if its caller had disconnected.
func (n *Node) reasonOfUnfinished(r Reason, mayHaveRun bool) Reason {
	switch {
	case r != ReasonCallerGone || !n.answersDue():
		return r
	case mayHaveRun:
		return ReasonAnswerLost
	}
	return ReasonLeaving
}

// stoppableCaller is the connection of a request that is broken off when the node has to answer it because it stops.
// Whatever waits for the request checks the connection regularly, so the stop needs no other signal.
type stoppableCaller struct {
	peer.Caller
	node *Node
}

func (n *Node) newCaller(conn net.Conn) *stoppableCaller {
	if c, ok := conn.(peer.Caller); ok {
		return &stoppableCaller{c, n}
	}
	return &stoppableCaller{peer.NewCaller(conn), n}
}

// Connected reports whether the request still has to be processed.
func (c *stoppableCaller) Connected() bool {
	return !c.node.answersDue() && (c.Caller == nil || c.Caller.Connected())
}

// ignoreDisconnect returns a Caller for a request that goes on when its caller disconnects. It is broken off only when
// the node stops.
func ignoreDisconnect(caller peer.Caller) peer.Caller {
	if c, ok := caller.(*stoppableCaller); ok {
		return &stoppableCaller{node: c.node}
	}
	return nil
}

// sleep pauses and returns by how much longer the pause was than requested.
func (n *Node) sleep(d time.Duration) time.Duration {
	before := n.o.Clock.Now()
	time.Sleep(d)
	return n.o.Clock.Now() - before - d
}

// closeServers closes the listeners and, without losing a request that was read, all connections. It returns the number
// of connections that had to be cut because their answer was not written by the end.
func (n *Node) closeServers(servers []*trackedServer, times *stopTimes) int {
	// A request that is being read now has until then to arrive.
	readTime := max(times.answersDue+callerCheckInterval-n.o.Clock.Now(), 0)
	for _, s := range servers {
		if err := s.listener.Close(); err != nil {
			n.o.Log.WithError(err).WithField("address", s.address).Warn("closing a listener failed")
		}
		s.conns.stopReading(time.Now().Add(readTime))
	}
	for openConns(servers) > 0 && n.o.Clock.Now() < times.end {
		time.Sleep(closePollInterval)
	}
	cut := 0
	for _, s := range servers {
		cut += s.conns.closeAll()
	}
	return cut
}

// openConns returns the number of connections that still have to be closed by their own goroutines. Those that carry
// messages are not awaited.
func openConns(servers []*trackedServer) int {
	count := 0
	for _, s := range servers {
		counts := s.conns.snapshot()
		count += counts.inUse() + counts[phaseIdle]
	}
	return count
}

// connsInUse returns the number of connections of callers and other nodes with a request that was read in part or
// completely and whose answer has not been written.
func (n *Node) connsInUse() int {
	callers, peers := n.callers.conns.snapshot(), n.peers.conns.snapshot()
	return callers.inUse() + peers.inUse()
}

// stopFields returns the log fields that show which requests a stopping node has: the connections in each phase, and
// the requests that wait for a slot of the node's upstream, run at it, or were sent to other nodes.
func (n *Node) stopFields() logrus.Fields {
	load := n.controller.queue.load()
	fields := logrus.Fields{
		"in_progress": n.inProgress(), "waiting": load.Waiting, "at_upstream": load.Running, "at_other_nodes": n.sentToNodes.Load(),
	}
	for _, s := range [...]*trackedServer{n.callers, n.peers} {
		for phase, count := range s.conns.snapshot() {
			fields[s.name+"_"+phaseNames[phase]] = count
		}
	}
	return fields
}

// inProgress returns the number of requests in progress at the node and at its upstream.
func (n *Node) inProgress() int64 {
	return n.requestsInProgress.Load() + n.controller.requestsInProgress.Load()
}

// handleReadError answers a request that did not arrive completely. It did not run. fasthttp's own handler answers
// status 400 if the time is over while it reads a header, after which callers do not send the request again.
func (n *Node) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var tooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error("the request body is too large", fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &tooLarge):
		ctx.Error("the request header is too large", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded) && n.stopping.Load():
		writeError(&ctx.Response, ReasonLeaving, shortestRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		ctx.Error("the request did not arrive in time", fasthttp.StatusRequestTimeout)
	default:
		ctx.Error("the request cannot be parsed", fasthttp.StatusBadRequest)
	}
}
