package peer

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
)

const (
	// UncountedBodyBytes is the part of each response body, in bytes, that a BodyBudget does not count. Most bodies are
	// smaller, so other responses still arrive when large or endless ones have used up the budget. Together with the
	// limits on connections it bounds the uncounted memory: 64 KiB x 128 connections are 8 MiB.
	UncountedBodyBytes = 64 << 10
	// UncountedRequestBytes is the same part of each request body. It is smaller, because the callers of a node may have
	// thousands of connections.
	UncountedRequestBytes = 8 << 10
	// firstBufferBytes is the size in bytes of the first buffer for a body of unknown length.
	firstBufferBytes = 4 << 10
)

// Errors of Conn.Send about the body of a response.
var (
	ErrResponseTooLarge = errors.New("the body of the response is larger than the node accepts; send a smaller body")
	ErrBodyBudgetSpent  = errors.New("the node holds too many bytes of responses at once; send smaller bodies or fewer large ones at once")
)

// BodyBudget bounds the bytes of the response bodies that a node holds at once, beyond UncountedBodyBytes of each body.
// It is safe for concurrent use. A nil BodyBudget has no bound.
type BodyBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBodyBudget returns a budget of limit bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// Used returns the number of bytes that are held now.
func (b *BodyBudget) Used() int64 { return b.used.Load() }

// LimitBody makes the response to the next Send fail if its body is larger than n bytes.
func (c *Conn) LimitBody(n int) { c.maxBodyBytes = n }

// countedBytes returns the part of a response body of n bytes that a budget counts.
func countedBytes(n int) int64 { return int64(max(0, n-UncountedBodyBytes)) }

// fits reports whether the budget allows n more bytes now.
func (b *BodyBudget) fits(n int64) bool { return b == nil || b.used.Load()+n <= b.limit }

// Release counts n bytes of a body that ReadBody has read as no longer held.
func (b *BodyBudget) Release(n int64) { b.release(n) }

// tryTake counts n more bytes as held and reports whether the budget allows that.
func (b *BodyBudget) tryTake(n int64) bool {
	if b == nil || n == 0 {
		return true
	}
	for {
		used := b.used.Load()
		if used+n > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// release counts n bytes as no longer held.
func (b *BodyBudget) release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// HoldUntilWritten counts the body of a response that a server is about to write until the server has written it or
// given up. The bytes are counted even beyond the limit, because the body is in memory already; no other body grows
// until enough of them are released.
func (b *BodyBudget) HoldUntilWritten(resp *fasthttp.Response) {
	if b == nil || resp.IsBodyStream() {
		return
	}
	body := resp.Body()
	n := countedBytes(len(body))
	if n == 0 {
		return
	}
	b.used.Add(n)
	// SetBodyStream returns the buffer of the body to a pool, so the body is taken out of the response first.
	resp.SwapBody(nil)
	resp.SetBodyStream(&heldBody{rest: body, budget: b, counted: n}, len(body))
}

// heldBody is a body whose bytes are released when it is closed.
type heldBody struct {
	rest    []byte
	budget  *BodyBudget
	counted int64
}

func (h *heldBody) Read(p []byte) (int, error) {
	if len(h.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, h.rest)
	h.rest = h.rest[n:]
	return n, nil
}

// WriteTo writes the rest of the body without copying it.
func (h *heldBody) WriteTo(w io.Writer) (int64, error) {
	n, err := w.Write(h.rest)
	h.rest = h.rest[n:]
	return int64(n), err
}

func (h *heldBody) Close() error {
	h.budget.release(h.counted)
	h.rest, h.counted = nil, 0
	return nil
}

// readBody reads the body of a response whose head has been read. Memory is allocated only as bytes arrive, because the
// announced length of a body or chunk says nothing about how much of it will come.
func readBody(r *bufio.Reader, resp *fasthttp.Response, maxBytes int, budget *BodyBudget) error {
	switch length := resp.Header.ContentLength(); {
	case length > maxBytes:
		return ErrResponseTooLarge
	case length >= 0 && length <= UncountedBodyBytes:
		return resp.ReadBody(r, maxBytes)
	case length >= 0:
		return readBodyInto(resp, r, length, length, budget)
	case length == -1:
		if err := readBodyInto(resp, httputil.NewChunkedReader(r), -1, maxBytes, budget); err != nil {
			return err
		}
		return response.DiscardTrailer(r)
	}
	// The body ends with the connection.
	if err := readBodyInto(resp, r, -1, maxBytes, budget); err != nil {
		return err
	}
	resp.Header.SetContentLength(len(resp.Body()))
	return nil
}

// readBodyInto reads a body of length bytes, or up to the end of src if length is -1, and makes it the body of resp.
func readBodyInto(resp *fasthttp.Response, src io.Reader, length, maxBytes int, budget *BodyBudget) error {
	body, counted, err := readGrowing(src, length, maxBytes, UncountedBodyBytes, budget)
	budget.release(counted)
	if err == nil {
		resp.SetBodyRaw(body)
	}
	return err
}

// ReadBody reads the body of a request, of length bytes or up to the end of src if length is -1. counted is the part of
// it that the budget counts until the caller of ReadBody releases it, also after an error. If the body does not fit into
// the budget, the error is ErrBodyBudgetSpent and body holds what was read of it, which is nothing if the length shows
// that it does not fit. A body of more than maxBytes fails with ErrResponseTooLarge.
func ReadBody(src io.Reader, length, maxBytes int, budget *BodyBudget) (body []byte, counted int64, err error) {
	if length > UncountedRequestBytes && !budget.fits(int64(length-UncountedRequestBytes)) {
		return nil, 0, ErrBodyBudgetSpent
	}
	if length >= 0 {
		maxBytes = length
	}
	return readGrowing(src, length, maxBytes, UncountedRequestBytes, budget)
}

// readGrowing reads a body into a buffer that is at most twice as large as what has arrived, and counts all but the first
// uncounted bytes of the buffer in the budget.
func readGrowing(src io.Reader, length, maxBytes, uncounted int, budget *BodyBudget) (body []byte, counted int64, err error) {
	size := min(firstBufferBytes, maxBytes)
	if length >= 0 {
		size = min(length, uncounted)
	}
	body = make([]byte, 0, size)
	for len(body) != length {
		if len(body) == cap(body) {
			if len(body) == maxBytes {
				return body, counted, expectEnd(src)
			}
			size = min(2*cap(body), maxBytes)
			more := max(0, int64(size-uncounted)) - counted
			if !budget.tryTake(more) {
				return body, counted, ErrBodyBudgetSpent
			}
			counted += more
			body = append(make([]byte, 0, size), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && length >= 0 && len(body) != length:
			return body, counted, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, counted, nil
		case err != nil:
			return body, counted, err
		}
	}
	return body, counted, nil
}

// expectEnd fails if src has more bytes.
func expectEnd(src io.Reader) error {
	var next [1]byte
	for {
		n, err := src.Read(next[:])
		switch {
		case n > 0:
			return ErrResponseTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
