package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// callOnward makes the first call of the chain through the local port of the upstream's node.
func (s *Server) callOnward(ctx context.Context, j *job) error {
	hop, rest, _ := strings.Cut(j.request.Header.Get(HeaderChain), ",")
	if hop == "" || s.options.LocalAddress == "" {
		return nil
	}
	request, err := s.onwardRequest(ctx, j, hop, rest)
	if err != nil {
		return err
	}
	response, err := s.onward.Do(request)
	if err != nil {
		return fmt.Errorf("onward call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("onward answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("onward call: status %d: %.200s", response.StatusCode, body)
	}
	s.checkOnward(j, request.Header.Get(HeaderToken), body)
	return nil
}

func (s *Server) checkOnward(j *job, token string, body []byte) {
	echoed, err := CheckAnswer(body, defaultAnswerBytes)
	if err == nil && echoed == token {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.record.OnwardAnswerWrong = true
}

// onwardRequest propagates the call's context. An onward call that is not idempotent gets an identity derived
// from the identity of the call, so that a repetition of the call repeats it.
func (s *Server) onwardRequest(ctx context.Context, j *job, hop, rest string) (*http.Request, error) {
	method, path, found := strings.Cut(strings.TrimSpace(hop), " ")
	if !found {
		return nil, errors.New("a hop of the chain must be \"METHOD /path\"")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.options.LocalAddress+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	from, to := j.request.Header, request.Header
	for _, name := range []string{wire.HeaderTeam, wire.HeaderDepth, wire.HeaderRetriesLeft, HeaderWork} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
	if j.deadline > 0 {
		left := max(j.deadline-s.now().Sub(j.arrived), time.Millisecond)
		to.Set(wire.HeaderDeadlineMS, strconv.FormatInt(left.Milliseconds(), 10))
	}
	to.Set(HeaderToken, j.record.Token+"/")
	if method != http.MethodGet {
		identity := j.record.Identity
		if identity == "" {
			identity = j.record.Token
		}
		to.Set(HeaderIdentity, identity+"/")
		to.Set(wire.HeaderIdempotencyKey, identity+"/")
		to.Set(wire.HeaderAttempt, "1")
	}
	if rest != "" {
		to.Set(HeaderChain, rest)
	}
	return request, nil
}
