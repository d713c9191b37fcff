package soak

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/platform"
)

const (
	callerDeadline = 1500 * time.Millisecond
	innerDeadline  = 400 * time.Millisecond
	// answerGrace is how long after its deadline a caller waits for an answer.
	answerGrace = 500 * time.Millisecond
	// shortestPause and longestPause are the pauses of a caller between two requests.
	shortestPause = 20 * time.Millisecond
	longestPause  = 120 * time.Millisecond
	// failed is the status of a request without an answer.
	failed = 0
)

// send sends one request on a kept connection and notes what comes of it.
func send(client *fasthttp.HostClient, l *ledger, o order, key string, deadline time.Duration) int {
	l.sent(o)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	names := &platform.Headers
	req.SetRequestURI("http://" + callerHost + o.path)
	req.Header.SetMethod(o.method)
	req.Header.Set(names.RequestID, o.id)
	req.Header.Set(names.DeadlineMS, strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(names.APIKey, key)
	}
	if o.method == fasthttp.MethodPost {
		req.SetBodyString("body of " + o.id)
	}
	if err := client.DoTimeout(req, resp, deadline+answerGrace); err != nil {
		l.count("without an answer")
		return failed
	}
	l.answered(o.id, resp.StatusCode(), string(resp.Header.Peek(names.RequestID)),
		string(resp.Header.Peek(names.UpstreamStamp)), string(resp.Body()))
	return resp.StatusCode()
}

// worker sends requests to one node, one after the other, until ctx ends. It keeps its connection until the process
// behind it is gone.
func (s *soak) worker(ctx context.Context, v *vm, number int) {
	random := newSource(s.o.Seed, uint64(1000+number))
	client := &fasthttp.HostClient{Addr: v.settings.CallerAddress, MaxIdemponentCallAttempts: 1, MaxConns: 1}
	defer client.CloseIdleConnections()
	team := teams[number%len(teams)]
	for n := 0; ctx.Err() == nil; n++ {
		o := order{
			id: fmt.Sprintf("%s-%d-%d", v.name, number, n), method: fasthttp.MethodGet, team: team.name,
			callerWorker: v.settings.Service, services: []string{serviceAlpha}, idempotent: true,
		}
		switch random.number(3) {
		case 0:
			o.path = "/read/" + o.id
		case 1:
			o.method, o.idempotent, o.services = fasthttp.MethodPost, false, []string{serviceBeta}
			o.path = "/write/" + o.id
		default:
			o.services = []string{serviceAlpha, serviceBeta}
			o.path = "/moving/" + o.id
		}
		status := send(client, s.ledger, o, team.key, callerDeadline)
		s.progress(status)
		pause := random.duration(shortestPause, longestPause)
		if status == failed {
			pause += longestPause
		}
		time.Sleep(pause)
	}
}
