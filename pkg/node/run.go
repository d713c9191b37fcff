package node

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Periods of the node's loops.
const (
	// tickPeriod is the longest time between two looks of the admission controller at its queue.
	tickPeriod = 10 * time.Millisecond
	// watchPeriod is far below the pause limit of 1 s.
	watchPeriod = 200 * time.Millisecond
	// stopMargin is added to the longest deadline before a stop gives up on calls in progress.
	stopMargin = time.Second
)

// ErrCallsAborted is returned by Run when calls were still in progress at the end of the stop.
var ErrCallsAborted = eris.New("calls were in progress after the longest deadline and were cut; look at the upstream")

// Run opens the ports and serves until ctx ends, then stops gracefully. It returns nil after a complete stop.
func (n *Node) Run(ctx context.Context) error {
	if err := n.listen(); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 8)
	var group conc.WaitGroup
	group.Go(func() { n.report(failed, n.maintainer.Run(background)) })
	group.Go(func() { n.report(failed, n.lender.Run(background)) })
	group.Go(func() { n.maintain(background) })
	serve := []func(net.Listener) error{
		n.control.Serve, n.operator.Serve, n.server.Serve, n.localPort.Serve, n.callerPort.Serve,
	}
	for i, f := range serve {
		group.Go(func() { n.report(failed, f(n.listeners[i])) })
	}
	n.log.WithField("vm", n.settings.VM).WithField("upstream", n.settings.Upstream).Info("the node has started")
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failed:
		n.log.WithError(failure).Error("a subsystem ended; the node stops")
	}
	stopped := n.stop()
	cancel()
	group.Wait()
	if failure != nil {
		return failure
	}
	return stopped
}

func (n *Node) report(failed chan<- error, err error) {
	if err != nil {
		failed <- err
	}
}

// listen opens all ports before any is served, so that a port in use stops the start at once. The order is that
// of Run: control first, callers last.
func (n *Node) listen() error {
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

// maintain runs the periodic work of the call path.
func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.queue.Tick()
		if i%int(watchPeriod/tickPeriod) == 0 {
			_, _ = n.guard.Current()
		}
		if i%int(time.Second/tickPeriod) == 0 {
			n.peers.CloseExpiredConnections()
			n.local.CloseExpiredConnections()
		}
	}
}

// stop refuses new forwarded work at once, tells peers and callers while the listeners stay open, lets the work
// in progress end and closes the ports. The local port closes after the calls of the upstream have ended, because
// the upstream's own calls belong to them.
func (n *Node) stop() error {
	n.log.Info("the node is leaving")
	n.maintainer.SetLeaving()
	n.controller.SetLeaving()
	n.gateway.SetLeaving()
	time.Sleep(n.settings.DrainNotice)
	bound, cancel := context.WithTimeout(context.Background(), n.settings.MaxDeadline+stopMargin)
	defer cancel()
	n.closePorts(bound, n.callerPort.Shutdown, n.server.HTTPServer().ShutdownWithContext)
	n.closePorts(bound, n.localPort.Shutdown)
	cut := n.controller.CallsInProgress() + n.gateway.CallsInProgress()
	last, cancelLast := context.WithTimeout(context.Background(), stopMargin)
	defer cancelLast()
	n.closePorts(last, n.control.ShutdownWithContext, n.operator.Shutdown)
	for _, l := range n.listeners {
		// A server that was told to stop before it began to serve does not close its listener.
		_ = l.Close()
	}
	n.peers.CloseIdleConnections()
	n.local.CloseIdleConnections()
	if cut > 0 {
		return ErrCallsAborted
	}
	n.log.Info("the node has stopped")
	return nil
}

func (n *Node) closePorts(ctx context.Context, shutdown ...func(context.Context) error) {
	var group conc.WaitGroup
	for _, f := range shutdown {
		group.Go(func() {
			if err := f(ctx); err != nil {
				n.log.WithError(err).Warn("a port did not close in time")
			}
		})
	}
	group.Wait()
}
