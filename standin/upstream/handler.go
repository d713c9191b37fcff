package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Paths of the endpoints that report the upstream's state. Requests to them take no slot.
const (
	PathHealth = "/health"
	PathLoad   = "/load"
)

// maxBodyBytes is the largest part of a request's body that the stand-in reads.
const maxBodyBytes = 64 << 20

// defaultAnswerBytes is the length of the answer to a request without HeaderAnswerBytes.
const defaultAnswerBytes = 256

// activeCall is a call that the upstream works on.
type activeCall struct {
	request    *http.Request
	record     *CallRecord
	body       []byte
	arrivedAt  time.Time
	workFactor float64
	// timeout is the time from arrivedAt to the call's deadline; 0 means no deadline.
	timeout time.Duration
}

// handleCall serves a call, or one of the endpoints that report the upstream's state.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && (r.URL.Path == PathHealth || r.URL.Path == PathLoad) {
		s.serveLoadReport(w, r.URL.Path)
		return
	}
	arrivedAt := s.now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is not whole", http.StatusBadRequest)
		return
	}
	call, admitted := s.admit(r, body, arrivedAt)
	if !admitted {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	ctx := r.Context()
	if call.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.timeout)
		defer cancel()
	}
	if !s.performWork(ctx, call) {
		s.endInterruptedCall(w, ctx, call)
		return
	}
	if err := s.makeOnwardCall(ctx, call); err != nil {
		s.recordOutcome(call.record, OutcomeOnwardCallFailed)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.sendAnswer(w, call)
}

// sendAnswer records the call as served before it writes the answer, so that no caller can have an answer to a call
// that is not recorded as served.
func (s *Server) sendAnswer(w http.ResponseWriter, call *activeCall) {
	size := intHeader(call.request, HeaderAnswerBytes, defaultAnswerBytes)
	body := AnswerBody(call.record.Token, size)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.recordOutcome(call.record, OutcomeServed)
	_, _ = w.Write(body)
}

// endInterruptedCall answers a call whose deadline passed during the work, and records the outcome. It sends no answer
// if the caller has closed the connection.
func (s *Server) endInterruptedCall(w http.ResponseWriter, ctx context.Context, call *activeCall) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.recordOutcome(call.record, OutcomeDeadlineExceeded)
		http.Error(w, "the deadline has passed", http.StatusGatewayTimeout)
		return
	}
	s.recordOutcome(call.record, OutcomeCancelled)
}

// admit records the call and takes a slot for it. It returns false if the call is shed.
func (s *Server) admit(r *http.Request, body []byte, arrivedAt time.Time) (*activeCall, bool) {
	record := s.newRecord(r, body, arrivedAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	admitted, aboveLimit, workFactor := s.capacity.admit(arrivedAt, s.behaviour)
	record.AboveLimit = aboveLimit
	if !admitted {
		record.Outcome = OutcomeShed
		record.End = arrivedAt
	}
	s.records = append(s.records, record)
	timeout := time.Duration(intHeader(r, wire.HeaderDeadlineMS, 0)) * time.Millisecond
	call := &activeCall{request: r, record: record, body: body, arrivedAt: arrivedAt, workFactor: workFactor, timeout: timeout}
	return call, admitted
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.release()
}

func (s *Server) newRecord(r *http.Request, body []byte, arrivedAt time.Time) *CallRecord {
	header := r.Header
	digest := header.Get(HeaderBodyDigest)
	return &CallRecord{
		Upstream:      s.options.Name,
		DataCentre:    s.options.DataCentre,
		Method:        r.Method,
		Path:          r.URL.Path,
		CallID:        header.Get(wire.HeaderCallID),
		Token:         header.Get(HeaderToken),
		Identity:      header.Get(HeaderIdentity),
		Team:          header.Get(wire.HeaderTeam),
		Depth:         intHeader(r, wire.HeaderDepth, 0),
		Start:         arrivedAt,
		Outcome:       OutcomeRunning,
		KeySeen:       s.containsKey(r, body),
		BodyCorrupted: digest != "" && digest != BodyDigest(body),
	}
}

// containsKey reports whether a header, the URL or the body of the request contains one of the forbidden keys, or
// whether the request has an Authorization header.
func (s *Server) containsKey(r *http.Request, body []byte) bool {
	if len(r.Header.Values("Authorization")) > 0 {
		return true
	}
	for _, key := range s.options.ForbiddenKeys {
		if bytes.Contains(body, []byte(key)) || strings.Contains(r.RequestURI, key) {
			return true
		}
		for name, values := range r.Header {
			if strings.Contains(strings.ToLower(name), strings.ToLower(key)) {
				return true
			}
			if strings.Contains(strings.Join(values, "\n"), key) {
				return true
			}
		}
	}
	return false
}

// performWork waits for the duration of the call's work. It returns false if ctx ends before that.
func (s *Server) performWork(ctx context.Context, call *activeCall) bool {
	workUS := intHeader(call.request, HeaderWork, int(s.options.DefaultWorkUS))
	duration := time.Duration(float64(workUS) * call.workFactor * float64(time.Microsecond))
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serveLoadReport answers a request to PathHealth or PathLoad. PathHealth answers 503 while the upstream is draining.
func (s *Server) serveLoadReport(w http.ResponseWriter, path string) {
	report := s.loadReport()
	w.Header().Set("Content-Type", "application/json")
	if path == PathHealth && report.State == "draining" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(report)
}

// intHeader returns the value of a header, or fallback if it is not a non-negative integer.
func intHeader(r *http.Request, name string, fallback int) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil || n < 0 {
		return fallback
	}
	return n
}
