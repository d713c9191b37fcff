package soak

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// lostCase is one request to vm0 beside other events. Times are relative to the sending of the request; work and
// unplanned faults begin at a negative time if they began before it.
type lostCase struct {
	work      workKind
	workVM    string
	workAt    time.Duration
	endedAt   time.Duration
	failure   error
	status    int
	stamped   bool
	run       []execution
	unplanned time.Duration
}

// Guards against a check that misses a request that was lost around planned work, or that reports one for which the
// rules have an excuse.
func TestLostAroundPlannedWork(t *testing.T) {
	sent := time.Now()
	closed, reset := fasthttp.ErrConnectionClosed, &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	executed := func(from, to time.Duration, cancelled bool) []execution {
		return []execution{{at: sent.Add(from), endedAt: sent.Add(to), cancelled: cancelled}}
	}
	const ms = time.Millisecond
	atWork, cancelled := executed(10*ms, 500*ms, false), executed(10*ms, 300*ms, true)
	for name, c := range map[string]struct {
		lost bool
		lostCase
	}{
		"executed and cut after SIGTERM":            {true, lostCase{work: workStop, workAt: -time.Second, endedAt: 100 * ms, failure: closed, run: atWork}},
		"executed and reset after SIGTERM":          {true, lostCase{work: workStop, workAt: -time.Second, endedAt: 100 * ms, failure: reset, run: atWork}},
		"held for longer than the slack":            {true, lostCase{work: workStop, workAt: -time.Second, endedAt: 250 * ms, failure: closed}},
		"held for less than the slack":              {false, lostCase{work: workStop, workAt: -time.Second, endedAt: 150 * ms, failure: closed}},
		"not read, and reset":                       {false, lostCase{work: workStop, workAt: -time.Second, endedAt: 250 * ms, failure: reset}},
		"connection refused":                        {false, lostCase{work: workStop, workAt: -time.Second, endedAt: 250 * ms, failure: errors.New("refused")}},
		"error while the upstream is at work":       {true, lostCase{work: workStop, workAt: -time.Second, endedAt: 305 * ms, status: 502, run: atWork}},
		"error after the run was cancelled":         {true, lostCase{work: workStop, workAt: -time.Second, endedAt: 305 * ms, status: 502, run: cancelled}},
		"error after a run was cancelled earlier":   {false, lostCase{work: workStop, workAt: 303 * ms, endedAt: 305 * ms, status: 502, run: cancelled}},
		"error after the run ended":                 {false, lostCase{work: workStop, workAt: -time.Second, endedAt: 600 * ms, status: 502, run: atWork}},
		"error of the upstream":                     {false, lostCase{work: workStop, workAt: -time.Second, endedAt: 305 * ms, status: 500, stamped: true, run: atWork}},
		"error beside a version only":               {false, lostCase{work: workConfiguration, workAt: -time.Second, endedAt: 305 * ms, status: 502, run: atWork}},
		"SIGTERM of another node":                   {false, lostCase{work: workStop, workVM: "vm1", workAt: -time.Second, endedAt: 100 * ms, failure: closed, run: atWork}},
		"SIGTERM after the request":                 {false, lostCase{work: workStop, workAt: 200 * ms, endedAt: 100 * ms, failure: closed, run: atWork}},
		"4.9 s after SIGTERM":                       {true, lostCase{work: workStop, workAt: -4800 * ms, endedAt: 100 * ms, failure: closed, run: atWork}},
		"5.1 s after SIGTERM":                       {false, lostCase{work: workStop, workAt: -5000 * ms, endedAt: 100 * ms, failure: closed, run: atWork}},
		"at work in the last part of the grace":     {false, lostCase{work: workStop, workAt: -2900 * ms, endedAt: 700 * ms, failure: closed, run: executed(10*ms, 700*ms, true)}},
		"the same, sent over 3 s after SIGTERM":     {true, lostCase{work: workStop, workAt: -3100 * ms, endedAt: 500 * ms, failure: closed, run: executed(10*ms, 500*ms, true)}},
		"at work until before the last part":        {true, lostCase{work: workStop, workAt: -2900 * ms, endedAt: 700 * ms, failure: closed, run: executed(10*ms, 400*ms, true)}},
		"sent 1.9 s after SIGHUP":                   {true, lostCase{work: workReload, workAt: -1900 * ms, endedAt: 100 * ms, failure: closed, run: atWork}},
		"sent 2.1 s after SIGHUP":                   {false, lostCase{work: workReload, workAt: -2100 * ms, endedAt: 100 * ms, failure: closed, run: atWork}},
		"cut 2.9 s after a version":                 {true, lostCase{work: workConfiguration, workAt: -2800 * ms, endedAt: 100 * ms, failure: closed, run: atWork}},
		"cut 3.1 s after a version":                 {false, lostCase{work: workConfiguration, workAt: -3000 * ms, endedAt: 100 * ms, failure: closed, run: atWork}},
		"the caller's deadline has passed":          {false, lostCase{work: workStop, workAt: -100 * ms, endedAt: 1500 * ms, status: 504, run: executed(10*ms, 1510*ms, true)}},
		"100 ms before the deadline":                {true, lostCase{work: workStop, workAt: -100 * ms, endedAt: 1400 * ms, status: 504, run: executed(10*ms, 1410*ms, true)}},
		"unplanned fault until 2.9 s before":        {false, lostCase{work: workStop, workAt: -time.Second, endedAt: 100 * ms, failure: closed, run: atWork, unplanned: -2900 * ms}},
		"unplanned fault until 3.1 s before":        {true, lostCase{work: workStop, workAt: -time.Second, endedAt: 100 * ms, failure: closed, run: atWork, unplanned: -3100 * ms}},
		"unplanned fault that began after its end":  {true, lostCase{work: workStop, workAt: -time.Second, endedAt: 100 * ms, failure: closed, run: atWork, unplanned: 300 * ms}},
		"unplanned fault while the request was run": {false, lostCase{work: workStop, workAt: -time.Second, endedAt: 100 * ms, failure: closed, run: atWork, unplanned: 50 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.check(sent)).To(Equal(c.lost))
		})
	}
}

// check reports whether the ledger reports the case as lost, and nothing else.
func (c *lostCase) check(sent time.Time) bool {
	l := newLedger()
	vm := "vm0"
	if c.workVM != "" {
		vm = c.workVM
	}
	if c.work == workConfiguration {
		vm = ""
	}
	l.plannedWork = []plannedWork{{c.work, vm, sent.Add(c.workAt)}}
	if c.unplanned != 0 {
		at := sent.Add(c.unplanned)
		l.unplannedFaults = []timeRange{{at.Add(-10 * time.Millisecond), at}}
	}
	l.records["a"] = &requestRecord{
		requestSpec: requestSpec{id: "a", entry: "vm0", deadline: callerDeadline}, sentAt: sent, endedAt: sent.Add(c.endedAt),
		failure: c.failure, status: c.status, fromUpstream: c.stamped, executions: c.run,
	}
	l.checkLost()
	return len(l.violations["lost"]) == 1
}

// Guards against an upstream stand-in that does not notice that its work is cancelled, which would hide lost requests.
func TestWaitEndsWhenConnectionCloses(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	sender, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	receiver, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = receiver.Close() }()
	g.Expect(waitWhileConnected(peer.NewCaller(receiver), 4*senderCheckInterval)).To(BeTrue())
	g.Expect(sender.Close()).To(Succeed())
	g.Expect(waitWhileConnected(peer.NewCaller(receiver), time.Minute)).To(BeFalse())
}
