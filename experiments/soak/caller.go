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
	callerDeadline     = 1500 * time.Millisecond
	nestedCallDeadline = 400 * time.Millisecond
	// responseGracePeriod is how long after the deadline of a request its caller still waits for the response.
	responseGracePeriod = 500 * time.Millisecond
	// minCallerPause and maxCallerPause bound the random pause of a caller between two requests.
	minCallerPause = 20 * time.Millisecond
	maxCallerPause = 120 * time.Millisecond
	// statusNoResponse stands for the status of a request that got no response.
	statusNoResponse = 0
)

// sendRequest sends one request over a connection that client keeps open, records the request and checks the response
// in the ledger. It returns the status, or statusNoResponse.
func sendRequest(client *fasthttp.HostClient, l *ledger, spec requestSpec, key string, deadline time.Duration) int {
	spec.deadline = deadline
	l.recordRequest(spec)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	names := &platform.Headers
	req.SetRequestURI("http://" + callerHost + spec.path)
	req.Header.SetMethod(spec.method)
	req.Header.Set(names.RequestID, spec.id)
	req.Header.Set(names.DeadlineMS, strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(names.APIKey, key)
	}
	if spec.method == fasthttp.MethodPost {
		req.SetBodyString("body of " + spec.id)
	}
	if err := client.DoTimeout(req, resp, deadline+responseGracePeriod); err != nil {
		l.recordFailure(spec.id, err)
		return statusNoResponse
	}
	l.checkResponse(spec.id, resp.StatusCode(), string(resp.Header.Peek(names.RequestID)),
		string(resp.Header.Peek(names.UpstreamStamp)), string(resp.Body()))
	return resp.StatusCode()
}

// runCaller sends requests to the node of a VM, one after the other, until ctx ends. It reuses its connection until the
// node's process ends. After each request it calls pause with the status.
func (s *soakRun) runCaller(ctx context.Context, v *vm, callerNumber int, pause func(*randomSource, int)) {
	random := newRandomSource(s.options.Seed, uint64(1000+callerNumber))
	client := &fasthttp.HostClient{Addr: v.settings.CallerAddress, MaxIdemponentCallAttempts: 1, MaxConns: 1}
	defer client.CloseIdleConnections()
	team, key := s.team(callerNumber % len(teams))
	for n := 0; ctx.Err() == nil; n++ {
		spec := requestSpec{
			id: fmt.Sprintf("%s-%d-%d", v.name, callerNumber, n), method: fasthttp.MethodGet, team: team,
			callerWorker: v.settings.Service, services: []string{serviceAlpha}, idempotent: true, entry: v.name,
		}
		switch random.intN(3) {
		case 0:
			spec.path = "/read/" + spec.id
		case 1:
			spec.method, spec.idempotent, spec.services = fasthttp.MethodPost, false, []string{serviceBeta}
			spec.path = "/write/" + spec.id
		default:
			spec.services = []string{serviceAlpha, serviceBeta}
			spec.path = "/moving/" + spec.id
		}
		status := sendRequest(client, s.ledger, spec, key, callerDeadline)
		s.countOutcome(status)
		pause(random, status)
	}
}

// pauseCaller waits for a random time between two requests of a caller, and longer after a request without response.
func pauseCaller(random *randomSource, status int) {
	pause := random.durationBetween(minCallerPause, maxCallerPause)
	if status == statusNoResponse {
		pause += maxCallerPause
	}
	time.Sleep(pause)
}
