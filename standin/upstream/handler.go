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

// Paths of the endpoints that report the upstream's state. They need no slot.
const (
	PathHealth = "/health"
	PathLoad   = "/load"
)

// maxBodyBytes bounds what the stand-in reads of a request.
const maxBodyBytes = 64 << 20

// defaultAnswerBytes is the length of an answer when the caller asks for none.
const defaultAnswerBytes = 256

// job is a call during its work.
type job struct {
	request  *http.Request
	record   *CallRecord
	body     []byte
	arrived  time.Time
	factor   float64
	deadline time.Duration
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && (r.URL.Path == PathHealth || r.URL.Path == PathLoad) {
		s.serveReport(w, r.URL.Path)
		return
	}
	arrived := s.now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is not whole", http.StatusBadRequest)
		return
	}
	j, taken := s.arrive(r, body, arrived)
	if !taken {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.depart()
	ctx := r.Context()
	if j.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, j.deadline)
		defer cancel()
	}
	if !s.work(ctx, j) {
		s.finishInterrupted(w, ctx, j)
		return
	}
	if err := s.callOnward(ctx, j); err != nil {
		s.finish(j.record, OutcomeOnwardCallFailed)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.answer(w, j)
}

// answer records the call as served before the answer leaves, so that no caller can know of an answer that
// the record does not hold.
func (s *Server) answer(w http.ResponseWriter, j *job) {
	size := intHeader(j.request, HeaderAnswerBytes, defaultAnswerBytes)
	body := AnswerBody(j.record.Token, size)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.finish(j.record, OutcomeServed)
	_, _ = w.Write(body)
}

func (s *Server) finishInterrupted(w http.ResponseWriter, ctx context.Context, j *job) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.finish(j.record, OutcomeDeadlineExceeded)
		http.Error(w, "the deadline has passed", http.StatusGatewayTimeout)
		return
	}
	s.finish(j.record, OutcomeCancelled)
}

// arrive records the call and takes a slot for it.
func (s *Server) arrive(r *http.Request, body []byte, arrived time.Time) (*job, bool) {
	record := s.describe(r, body, arrived)
	s.mu.Lock()
	defer s.mu.Unlock()
	taken, above, factor := s.capacity.arrive(arrived, s.behaviour)
	record.AboveLimit = above
	if !taken {
		record.Outcome = OutcomeShed
		record.End = arrived
	}
	s.records = append(s.records, record)
	deadline := time.Duration(intHeader(r, wire.HeaderDeadlineMS, 0)) * time.Millisecond
	j := &job{request: r, record: record, body: body, arrived: arrived, factor: factor, deadline: deadline}
	return j, taken
}

func (s *Server) depart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.depart()
}

func (s *Server) describe(r *http.Request, body []byte, arrived time.Time) *CallRecord {
	h := r.Header
	digest := h.Get(HeaderBodyDigest)
	return &CallRecord{
		Upstream:      s.options.Name,
		DataCentre:    s.options.DataCentre,
		Method:        r.Method,
		Path:          r.URL.Path,
		CallID:        h.Get(wire.HeaderCallID),
		Token:         h.Get(HeaderToken),
		Identity:      h.Get(HeaderIdentity),
		Team:          h.Get(wire.HeaderTeam),
		Depth:         intHeader(r, wire.HeaderDepth, 0),
		Start:         arrived,
		Outcome:       OutcomeRunning,
		KeySeen:       s.keyIn(r, body),
		BodyCorrupted: digest != "" && digest != BodyDigest(body),
	}
}

// keyIn looks for a key in every header, in the URL and in the body.
func (s *Server) keyIn(r *http.Request, body []byte) bool {
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

// work spends the call's time and reports whether it was not interrupted.
func (s *Server) work(ctx context.Context, j *job) bool {
	us := intHeader(j.request, HeaderWork, int(s.options.DefaultWorkUS))
	duration := time.Duration(float64(us) * j.factor * float64(time.Microsecond))
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) serveReport(w http.ResponseWriter, path string) {
	load := s.report()
	w.Header().Set("Content-Type", "application/json")
	if path == PathHealth && load.State == "draining" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(load)
}

func intHeader(r *http.Request, name string, otherwise int) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil || n < 0 {
		return otherwise
	}
	return n
}
