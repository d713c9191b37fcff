package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers with which a test caller controls how the stand-in handles a call. The nodes pass them on unchanged.
const (
	// HeaderToken is a string that is unique to the request. The body of the answer starts with it.
	HeaderToken = "Load-Token"
	// HeaderIdentity is the caller's idempotency key. It is recorded, so that the records show which calls ran more
	// than once.
	HeaderIdentity = "Load-Identity"
	// HeaderWork is the time in microseconds that the upstream spends on the call.
	HeaderWork = "Load-Work-Us"
	// HeaderAnswerBytes is the length of the answer's body in bytes.
	HeaderAnswerBytes = "Load-Answer-Bytes"
	// HeaderBodyDigest is the BodyDigest of the request's body.
	HeaderBodyDigest = "Load-Body-Digest"
	// HeaderChain lists onward calls, which upstreams make while they work on a call, as "METHOD /path" separated by
	// commas. The upstream makes the first one and sends the rest of the list with it in the same header.
	HeaderChain = "Load-Chain"
)

// Errors of CheckAnswer.
var (
	// ErrTruncatedAnswer means that the body has no complete token or is shorter than expected.
	ErrTruncatedAnswer = errors.New("the answer is truncated")
	// ErrMismatchedAnswer means that the body differs from the one for the token that it starts with.
	ErrMismatchedAnswer = errors.New("the answer does not match its token")
)

// AnswerBody returns the body of the answer to a request with the given token: the token, its digest and filler text.
// It has size bytes, or more if the token and the digest need more. Every byte depends on the token, so that a mixture
// of two answers matches neither of their tokens.
func AnswerBody(token string, size int) []byte {
	body := make([]byte, 0, max(size, len(token)+18))
	body = append(body, token...)
	body = append(body, '\n')
	body = append(body, BodyDigest([]byte(token))...)
	body = append(body, '\n')
	seed := xxhash.Sum64String(token)
	for i := uint64(0); len(body) < size; i++ {
		seed = seed*6364136223846793005 + 1442695040888963407 + i
		body = strconv.AppendUint(body, seed, 36)
	}
	return body[:max(size, len(token)+18)]
}

// CheckAnswer returns the token that the body starts with. It returns ErrTruncatedAnswer or ErrMismatchedAnswer if the
// body is not exactly AnswerBody of that token and size.
func CheckAnswer(body []byte, size int) (token string, err error) {
	echoed, _, found := bytes.Cut(body, []byte{'\n'})
	if !found {
		return "", fmt.Errorf("%w: %d bytes without a token", ErrTruncatedAnswer, len(body))
	}
	token = string(echoed)
	want := AnswerBody(token, size)
	if bytes.Equal(body, want) {
		return token, nil
	}
	if len(body) < len(want) {
		return token, fmt.Errorf("%w: %d of %d bytes", ErrTruncatedAnswer, len(body), len(want))
	}
	return token, fmt.Errorf("%w: the body differs from the answer for token %q", ErrMismatchedAnswer, token)
}

// BodyDigest returns the 64-bit xxHash of a body as 16 hexadecimal digits, the value of HeaderBodyDigest.
func BodyDigest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}
