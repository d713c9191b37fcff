package platform

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// RevisionHeader carries the revision of a manifest.
const RevisionHeader = "X-Revision"

const valuesPrefix = "/v1/config/values/"

// maxWait bounds how long a watch may wait.
const maxWait = 60 * time.Second

// handle serves the platform's protocol.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	ip := hostOf(ctx.RemoteAddr())
	if !s.allowance.take(s.now()) {
		s.traffic.add(ip, func(c *ClientCounters) { c.RefusedReads++ })
		ctx.Error("read allowance exhausted", fasthttp.StatusTooManyRequests)
		return
	}
	s.traffic.add(ip, func(c *ClientCounters) { c.Reads++ })
	if s.misbehave(ctx) {
		return
	}
	path := string(ctx.Path())
	switch {
	case !ctx.IsGet():
		ctx.Error("the service can only be read", fasthttp.StatusMethodNotAllowed)
	case path == "/v1/config/manifest":
		s.serveWatch(ctx, s.manifest)
	case path == "/v1/members":
		s.serveWatch(ctx, s.memberList)
	case strings.HasPrefix(path, valuesPrefix):
		s.serveValue(ctx, path[len(valuesPrefix):])
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// misbehave applies a fault that concerns every read and reports whether the request is finished.
func (s *Server) misbehave(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	kind, thawed := s.fault.Kind, s.thawed
	s.mu.Unlock()
	switch kind {
	case FaultDown:
		ctx.Error("the service is down", fasthttp.StatusServiceUnavailable)
		return true
	case FaultFrozen:
		select {
		case <-thawed:
		case <-s.closed:
		}
		dropConnection(ctx)
		return true
	case FaultNone, FaultStale:
	}
	return false
}

// dropConnection closes the connection without an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// document returns the present body and revision of something that can be watched; ok is false when it does
// not exist yet. The caller holds the mutex.
type document func() (body []byte, revision uint64, ok bool)

func (s *Server) manifest() ([]byte, uint64, bool) {
	n := len(s.publications)
	if n == 0 {
		return nil, 0, false
	}
	if s.fault.Kind == FaultStale {
		return s.staleManifest()
	}
	newest := s.publications[n-1]
	return newest.manifest, newest.revision, true
}

func (s *Server) staleManifest() ([]byte, uint64, bool) {
	n := len(s.publications)
	want := s.fault.StaleRevision
	if want == 0 && n > 1 {
		want = s.publications[n-2].revision
	}
	for _, p := range s.publications {
		if p.revision == want {
			return p.manifest, p.revision, true
		}
	}
	return s.publications[0].manifest, s.publications[0].revision, true
}

func (s *Server) memberList() ([]byte, uint64, bool) {
	body, err := json.Marshal(s.members)
	return body, s.members.Revision, err == nil
}

// serveWatch answers at once without "after", else when the revision is above it or the wait has passed.
func (s *Server) serveWatch(ctx *fasthttp.RequestCtx, current document) {
	after, wait, err := watchArguments(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		body, revision, ok := current()
		changed, kind := s.changed, s.fault.Kind
		s.mu.Unlock()
		if kind == FaultDown || kind == FaultFrozen {
			s.misbehave(ctx)
			return
		}
		if ok && (after == 0 || revision > after) {
			ctx.Response.Header.Set(RevisionHeader, strconv.FormatUint(revision, 10))
			ctx.SetContentType("application/json")
			ctx.SetBody(body)
			return
		}
		select {
		case <-changed:
		case <-s.closed:
			dropConnection(ctx)
			return
		case <-deadline.C:
			ctx.SetStatusCode(unchangedStatus(ok))
			return
		}
	}
}

func unchangedStatus(exists bool) int {
	if exists {
		return fasthttp.StatusNotModified
	}
	return fasthttp.StatusNotFound
}

func watchArguments(ctx *fasthttp.RequestCtx) (after uint64, wait time.Duration, err error) {
	args := ctx.QueryArgs()
	if raw := args.Peek("after"); len(raw) > 0 {
		after, err = strconv.ParseUint(string(raw), 10, 64)
		if err != nil {
			return 0, 0, err
		}
	}
	if raw := args.Peek("wait_ms"); len(raw) > 0 {
		ms, err := strconv.ParseUint(string(raw), 10, 31)
		if err != nil {
			return 0, 0, err
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	return after, wait, nil
}

func (s *Server) serveValue(ctx *fasthttp.RequestCtx, digest string) {
	s.mu.Lock()
	value, ok := s.values[digest]
	s.mu.Unlock()
	if !ok {
		ctx.Error("no such value", fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(value)
}
