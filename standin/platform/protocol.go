package platform

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// RevisionHeader is the response header with the revision of the manifest or of the member list.
const RevisionHeader = "X-Revision"

// valuePathPrefix is followed by the digest of a value.
const valuePathPrefix = "/v1/config/values/"

// maxWatchWait is the longest time that a watch request waits for a change.
const maxWatchWait = 60 * time.Second

// handleProtocol serves the platform's protocol: reads of the manifest, of the member list and of values.
func (s *Server) handleProtocol(ctx *fasthttp.RequestCtx) {
	ip := hostOf(ctx.RemoteAddr())
	if !s.readLimiter.allow(s.now()) {
		s.traffic.update(ip, func(c *ClientCounters) { c.RefusedReads++ })
		ctx.Error("read allowance exhausted", fasthttp.StatusTooManyRequests)
		return
	}
	s.traffic.update(ip, func(c *ClientCounters) { c.Reads++ })
	if s.applyFault(ctx) {
		return
	}
	path := string(ctx.Path())
	switch {
	case !ctx.IsGet():
		ctx.Error("the service can only be read", fasthttp.StatusMethodNotAllowed)
	case path == "/v1/config/manifest":
		s.serveWatch(ctx, s.currentManifest)
	case path == "/v1/members":
		s.serveWatch(ctx, s.currentMemberList)
	case strings.HasPrefix(path, valuePathPrefix):
		s.serveValue(ctx, path[len(valuePathPrefix):])
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// applyFault applies a fault that affects all reads, and reports whether it has handled the request.
func (s *Server) applyFault(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	kind, unfrozen := s.fault.Kind, s.unfrozen
	s.mu.Unlock()
	switch kind {
	case FaultDown:
		ctx.Error("the service is down", fasthttp.StatusServiceUnavailable)
		return true
	case FaultFrozen:
		select {
		case <-unfrozen:
		case <-s.closed:
		}
		dropConnection(ctx)
		return true
	case FaultNone, FaultStale:
	}
	return false
}

// dropConnection closes the connection without sending a response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// documentReader returns the current body and revision of the manifest or of the member list. ok is false if the
// document does not exist yet. The caller must hold Server.mu.
type documentReader func() (body []byte, revision uint64, ok bool)

func (s *Server) currentManifest() ([]byte, uint64, bool) {
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

// staleManifest returns the manifest of the revision that the fault names, by default the one before the newest. If
// that revision was never published, it returns the oldest manifest.
func (s *Server) staleManifest() ([]byte, uint64, bool) {
	n := len(s.publications)
	revision := s.fault.StaleRevision
	if revision == 0 && n > 1 {
		revision = s.publications[n-2].revision
	}
	for _, p := range s.publications {
		if p.revision == revision {
			return p.manifest, p.revision, true
		}
	}
	return s.publications[0].manifest, s.publications[0].revision, true
}

func (s *Server) currentMemberList() ([]byte, uint64, bool) {
	body, err := json.Marshal(s.members)
	return body, s.members.Revision, err == nil
}

// serveWatch answers a read of a document that can be watched. It sends the document as soon as its revision is above
// the query argument "after"; without this argument any revision is sent. If nothing can be sent within "wait_ms"
// milliseconds, it answers 304, or 404 if the document does not exist.
func (s *Server) serveWatch(ctx *fasthttp.RequestCtx, readDocument documentReader) {
	after, wait, err := parseWatchArguments(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		body, revision, exists := readDocument()
		changed, kind := s.changed, s.fault.Kind
		s.mu.Unlock()
		if kind == FaultDown || kind == FaultFrozen {
			s.applyFault(ctx)
			return
		}
		if exists && (after == 0 || revision > after) {
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
			ctx.SetStatusCode(watchTimeoutStatus(exists))
			return
		}
	}
}

func watchTimeoutStatus(exists bool) int {
	if exists {
		return fasthttp.StatusNotModified
	}
	return fasthttp.StatusNotFound
}

// parseWatchArguments returns the query arguments "after" and "wait_ms", each 0 if absent.
func parseWatchArguments(ctx *fasthttp.RequestCtx) (after uint64, wait time.Duration, err error) {
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
		wait = min(time.Duration(ms)*time.Millisecond, maxWatchWait)
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
