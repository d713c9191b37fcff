package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/platform"
)

const (
	uploadPathPrefix = "/upload/"
	// maxPipelined is the largest number of requests that a caller sends before it reads the first response.
	maxPipelined = 5
	// uploadShare is the share of uploads among the requests of a series, minUploadBytes and maxUploadBytes bound the
	// random sizes of their bodies.
	uploadShare    = 0.25
	minUploadBytes = 8 << 10
	maxUploadBytes = 120 << 10
	// cutShare is the share of series whose caller leaves in the middle of the last body, leaveShare that of those whose
	// caller leaves without reading a response.
	cutShare   = 0.06
	leaveShare = 0.06
)

// Failures of requests that were sent behind another one on their connection.
var (
	// errNotRead is that of a request behind a response that closed the connection. Its caller takes it as not read and
	// may send it again.
	errNotRead = errors.New("the response to an earlier request closed the connection")
	errBehind  = errors.New("the connection ended before the response to an earlier request")
)

// uploadBody returns the body of an upload, which depends on its ID and size only, so that a body that is incomplete or
// belongs to another request is detected.
func uploadBody(id string, size int) string {
	return (fmt.Sprintf("%s %d ", id, size) + strings.Repeat(id+".", 1+size/len(id)))[:size]
}

// isUploadBody reports whether a body is that of the upload with the ID.
func isUploadBody(id string, body []byte) bool { return string(body) == uploadBody(id, len(body)) }

// series is a number of requests that a caller sends behind one another on a connection.
type series struct {
	specs []requestSpec
	text  bytes.Buffer
	// leaves is true if the caller closes the connection without reading a response.
	leaves bool
}

// newSeries returns a random series of requests of the caller with the number, the first one with the index n.
func (s *soakRun) newSeries(random *randomSource, v *vm, callerNumber, n int) *series {
	team, key := s.team(1 + callerNumber%(len(teams)-1))
	cut := random.trueWithProbability(cutShare)
	b := &series{leaves: cut || random.trueWithProbability(leaveShare)}
	count := 1 + random.intN(maxPipelined)
	for i := range count {
		spec := requestSpec{
			id: fmt.Sprintf("%s-%d-%d", v.name, callerNumber, n+i), method: fasthttp.MethodGet, team: team,
			callerWorker: v.settings.Service, services: []string{serviceAlpha}, idempotent: true, entry: v.name, deadline: callerDeadline,
		}
		spec.path = "/read/" + spec.id
		body, cutHere := "", cut && i == count-1
		if cutHere || random.trueWithProbability(uploadShare) {
			spec.method, spec.idempotent, spec.services = fasthttp.MethodPost, false, []string{serviceBeta}
			spec.path = uploadPathPrefix + spec.id
			body = uploadBody(spec.id, minUploadBytes+random.intN(maxUploadBytes-minUploadBytes))
		}
		if b.leaves {
			// What becomes of it is not lost to anybody.
			spec.deadline = 0
		}
		fmt.Fprintf(&b.text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n", spec.method, spec.path, callerHost,
			platform.Headers.RequestID, spec.id, platform.Headers.DeadlineMS, callerDeadline.Milliseconds(), platform.Headers.APIKey, key)
		if body != "" {
			fmt.Fprintf(&b.text, "Content-Length: %d\r\n", len(body))
		}
		if cutHere {
			body = body[:len(body)/2]
			// An upstream must not run it.
			spec.services = nil
		}
		b.text.WriteString("\r\n" + body)
		b.specs = append(b.specs, spec)
	}
	return b
}

// runPipelinedCaller sends series of requests to the node of a VM until ctx ends. It keeps its connection open between
// them.
func (s *soakRun) runPipelinedCaller(ctx context.Context, v *vm, callerNumber int) {
	random := newRandomSource(s.options.Seed, uint64(1000+callerNumber))
	var conn net.Conn
	var reader *bufio.Reader
	closeConn := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer closeConn()
	for n := 0; ctx.Err() == nil; {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", v.settings.CallerAddress, callerDeadline); err != nil {
				conn = nil
				time.Sleep(maxCallerPause)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		b := s.newSeries(random, v, callerNumber, n)
		n += len(b.specs)
		for _, spec := range b.specs {
			s.ledger.recordRequest(spec)
		}
		_ = conn.SetDeadline(time.Now().Add(callerDeadline + responseGracePeriod))
		_, err := conn.Write(b.text.Bytes())
		switch {
		case b.leaves:
			closeConn()
			s.failSeries(b.specs, errBehind)
		case err != nil || !s.readSeries(reader, b.specs):
			closeConn()
			if err != nil {
				s.failSeries(b.specs, err)
			}
		}
		pauseCaller(random, fasthttp.StatusOK)
	}
}

// readSeries reads the responses to a series in its order. It returns false if the connection cannot be used again.
func (s *soakRun) readSeries(reader *bufio.Reader, specs []requestSpec) bool {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for i, spec := range specs {
		if err := resp.Read(reader); err != nil {
			if errors.Is(err, io.EOF) {
				err = fasthttp.ErrConnectionClosed
			}
			s.failSeries(specs[i:], err)
			return false
		}
		names := &platform.Headers
		s.ledger.checkResponse(spec.id, resp.StatusCode(), string(resp.Header.Peek(names.RequestID)),
			string(resp.Header.Peek(names.UpstreamStamp)), string(resp.Body()))
		s.countOutcome(resp.StatusCode())
		if resp.ConnectionClose() {
			s.failSeries(specs[i+1:], errNotRead)
			return false
		}
	}
	return true
}

// failSeries records that requests got no response: all with errNotRead, or else the first one because of failure and
// those behind it with errBehind.
func (s *soakRun) failSeries(specs []requestSpec, failure error) {
	for _, spec := range specs {
		s.ledger.recordFailure(spec.id, failure)
		if !errors.Is(failure, errNotRead) {
			failure = errBehind
		}
	}
}
