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

// makeOnwardCall makes the first onward call of HeaderChain, if there is one, through the local port of the upstream's
// node. It returns an error if that call fails. If only the body of the answer is wrong, it records this and returns
// nil.
func (s *Server) makeOnwardCall(ctx context.Context, call *activeCall) error {
	hop, rest, _ := strings.Cut(call.request.Header.Get(HeaderChain), ",")
	if hop == "" || s.options.LocalAddress == "" {
		return nil
	}
	request, err := s.newOnwardRequest(ctx, call, hop, rest)
	if err != nil {
		return err
	}
	response, err := s.onwardClient.Do(request)
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
	s.checkOnwardAnswer(call, request.Header.Get(HeaderToken), body)
	return nil
}

// checkOnwardAnswer sets CallRecord.OnwardAnswerWrong if the body is not the answer for the token of the onward call.
// Onward requests have no HeaderAnswerBytes, so the answer must have the default length.
func (s *Server) checkOnwardAnswer(call *activeCall, token string, body []byte) {
	echoed, err := CheckAnswer(body, defaultAnswerBytes)
	if err == nil && echoed == token {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	call.record.OnwardAnswerWrong = true
}

// newOnwardRequest returns the request of an onward call, with the team, depth, remaining retries, work and remaining
// time of the current call. An onward call other than GET gets an idempotency key that is derived from the one of the
// current call, so that a retry of the current call repeats the onward call with the same key. If the current call has
// no key, its token is used instead.
func (s *Server) newOnwardRequest(ctx context.Context, call *activeCall, hop, rest string) (*http.Request, error) {
	method, path, found := strings.Cut(strings.TrimSpace(hop), " ")
	if !found {
		return nil, errors.New("a hop of the chain must be \"METHOD /path\"")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.options.LocalAddress+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	incoming, outgoing := call.request.Header, request.Header
	for _, name := range []string{wire.HeaderTeam, wire.HeaderDepth, wire.HeaderRetriesLeft, HeaderWork} {
		if value := incoming.Get(name); value != "" {
			outgoing.Set(name, value)
		}
	}
	if call.timeout > 0 {
		remaining := max(call.timeout-s.now().Sub(call.arrivedAt), time.Millisecond)
		outgoing.Set(wire.HeaderDeadlineMS, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	outgoing.Set(HeaderToken, call.record.Token+"/")
	if method != http.MethodGet {
		identity := call.record.Identity
		if identity == "" {
			identity = call.record.Token
		}
		outgoing.Set(HeaderIdentity, identity+"/")
		outgoing.Set(wire.HeaderIdempotencyKey, identity+"/")
		outgoing.Set(wire.HeaderAttempt, "1")
	}
	if rest != "" {
		outgoing.Set(HeaderChain, rest)
	}
	return request, nil
}
