package node

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Intervals of the node's periodic work, and limits of its stop.
const (
	// tickInterval is how often the admission queue looks at its waiting calls.
	tickInterval = 10 * time.Millisecond
	// pauseCheckInterval is far below 1 s, the shortest interruption that counts as a pause of the process.
	pauseCheckInterval = 200 * time.Millisecond
	// stopMargin is how much longer than the longest deadline a stopping node waits for calls in progress.
	stopMargin = time.Second
)

// ErrCallsAborted is returned by Run when calls were still in progress at the end of the stop.
var ErrCallsAborted = eris.New("calls still in progress after the longest deadline were aborted; check the upstream")

// Run opens the ports and serves calls until ctx ends, then stops gracefully. It returns nil if no call was aborted.
func (n *Node) Run(ctx context.Context) error {
	if err := n.openListeners(); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failures := make(chan error, 8)
	var group conc.WaitGroup
	group.Go(func() { n.reportFailure(failures, n.syncer.Run(background)) })
	group.Go(func() { n.reportFailure(failures, n.limiter.Run(background)) })
	group.Go(func() { n.runPeriodicWork(background) })
	serveFuncs := []func(net.Listener) error{
		n.controlServer.Serve, n.operatorServer.Serve, n.peerServer.Serve, n.localServer.Serve, n.callerServer.Serve,
	}
	for i, serve := range serveFuncs {
		group.Go(func() { n.reportFailure(failures, serve(n.listeners[i])) })
	}
	n.log.WithField("vm", n.settings.VM).WithField("upstream", n.settings.Upstream).Info("the node has started")
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
		n.log.WithError(failure).Error("a part of the node failed; the node stops")
	}
	stopErr := n.stop()
	cancel()
	group.Wait()
	if failure != nil {
		return failure
	}
	return stopErr
}

func (n *Node) reportFailure(failures chan<- error, err error) {
	if err != nil {
		failures <- err
	}
}

// openListeners opens all ports before any is served, so that a port that is already in use makes the start fail at
// once. The listeners are in the order of the servers in Run: the control port first, the caller port last.
func (n *Node) openListeners() error {
	s := n.settings
	ports := []struct{ name, address string }{
		{"control_address", s.ControlAddress},
		{"operator_address", s.OperatorAddress},
		{"peer_address", s.PeerAddress},
		{"local_address", s.LocalAddress},
		{"caller_address", s.CallerAddress},
	}
	for _, p := range ports {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			for _, open := range n.listeners {
				_ = open.Close()
			}
			return eris.Wrapf(err, "%s %q cannot be opened; give a free address of this VM", p.name, p.address)
		}
		n.listeners = append(n.listeners, l)
	}
	return nil
}

// runPeriodicWork ticks the admission queue, checks for pauses of the process and closes expired connections.
func (n *Node) runPeriodicWork(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.queue.Tick()
		if i%int(pauseCheckInterval/tickInterval) == 0 {
			_, _ = n.viewGuard.Current()
		}
		if i%int(time.Second/tickInterval) == 0 {
			n.peerPool.CloseExpiredConnections()
			n.upstreamPool.CloseExpiredConnections()
		}
	}
}

// stop refuses new forwarded calls at once and reports the state "leaving" to other nodes and callers while the
// listeners stay open. It then waits for the calls in progress and closes the ports. The local port is closed only
// after the calls to the upstream have ended, because the upstream may make calls of its own to serve them.
func (n *Node) stop() error {
	n.log.Info("the node is leaving")
	n.syncer.SetLeaving()
	n.controller.SetLeaving()
	n.gateway.SetLeaving()
	time.Sleep(n.settings.DrainNotice)
	drainCtx, cancel := context.WithTimeout(context.Background(), n.settings.MaxDeadline+stopMargin)
	defer cancel()
	n.shutDownServers(drainCtx, n.callerServer.Shutdown, n.peerServer.HTTPServer().ShutdownWithContext)
	n.shutDownServers(drainCtx, n.localServer.Shutdown)
	aborted := n.controller.CallsInProgress() + n.gateway.CallsInProgress()
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), stopMargin)
	defer cancelFinal()
	n.shutDownServers(finalCtx, n.controlServer.ShutdownWithContext, n.operatorServer.Shutdown)
	for _, l := range n.listeners {
		// A server that is shut down before it has begun to serve does not close its listener.
		_ = l.Close()
	}
	n.peerPool.CloseIdleConnections()
	n.upstreamPool.CloseIdleConnections()
	if aborted > 0 {
		return ErrCallsAborted
	}
	n.log.Info("the node has stopped")
	return nil
}

// shutDownServers calls the given shutdown functions concurrently and waits for all of them.
func (n *Node) shutDownServers(ctx context.Context, shutdownFuncs ...func(context.Context) error) {
	var group conc.WaitGroup
	for _, shutdown := range shutdownFuncs {
		group.Go(func() {
			if err := shutdown(ctx); err != nil {
				n.log.WithError(err).Warn("a port did not close in time")
			}
		})
	}
	group.Wait()
}
