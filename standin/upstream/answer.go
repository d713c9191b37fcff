package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers by which a test caller instructs the stand-in. They pass through the nodes unchanged.
const (
	// HeaderToken is a string that is unique to the request; the answer echoes it.
	HeaderToken = "Load-Token"
	// HeaderIdentity is the caller's idempotency key, so that the record shows what ran more than once.
	HeaderIdentity = "Load-Identity"
	// HeaderWork is the work of the call in microseconds.
	HeaderWork = "Load-Work-Us"
	// HeaderAnswerBytes is the length of the answer.
	HeaderAnswerBytes = "Load-Answer-Bytes"
	// HeaderBodyDigest is the xxhash of the request's body in hexadecimal.
	HeaderBodyDigest = "Load-Body-Digest"
	// HeaderChain lists the onward calls, "METHOD /path" separated by commas; the upstream makes the first
	// one and hands on the rest.
	HeaderChain = "Load-Chain"
)

// Errors of CheckAnswer.
var (
	// ErrTruncatedAnswer means that the answer is not whole.
	ErrTruncatedAnswer = errors.New("the answer is not whole")
	// ErrMismatchedAnswer means that the answer belongs to another request.
	ErrMismatchedAnswer = errors.New("the answer belongs to another request")
)

// AnswerBody returns the body for a token, size bytes long, or longer when the token and its digest need it. Each
// byte depends on the token, so a mixture of two answers does not pass for either.
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

// CheckAnswer returns the token that the answer echoes, and an error when the answer is not exactly the one
// of that token and size.
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
	return token, fmt.Errorf("%w: the body does not belong to token %q", ErrMismatchedAnswer, token)
}

// BodyDigest is the value of HeaderBodyDigest for a body.
func BodyDigest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}
