package sidecar

import (
	"net"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// Guards against taking a connection that the system gave up, because the other side acknowledged nothing, for a passed
// deadline: the caller got 504 long before its deadline, and the request was not sent to another upstream.
func TestUnacknowledgedConnectionIsNoTimeout(t *testing.T) {
	g := NewWithT(t)
	c := newTestMesh(t, 1, nil).nodes[0].controller
	broken := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	late := &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
	for _, a := range []attemptResult{sendErrorResult(peer.NoResponse, broken), c.sendFailure(peer.NoResponse, broken)} {
		g.Expect(a).To(Equal(attemptResult{outcome: outcomeUnknown, reason: ReasonAnswerLost, reachedUpstream: true}))
	}
	for _, a := range []attemptResult{sendErrorResult(peer.NoResponse, late), c.sendFailure(peer.NoResponse, late)} {
		g.Expect(a).To(Equal(attemptResult{outcome: outcomeUnknown, reason: ReasonTimedOut, reachedUpstream: true}))
	}
}
