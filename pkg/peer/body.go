package peer

import (
	"io"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
)

const (
	// UncountedBodyBytes is the part of each response body, in bytes, that a BodyBudget does not count. Together with the
	// limits on connections it bounds the uncounted memory: 64 KiB x 128 connections are 8 MiB.
	UncountedBodyBytes = response.UncountedBytes
	// UncountedRequestBytes is the same part of each request body. It is smaller, because the callers of a node may have
	// thousands of connections.
	UncountedRequestBytes = 8 << 10
)

// Errors of Conn.Send about the body of a response.
var (
	ErrResponseTooLarge = response.ErrTooLarge
	ErrBodyBudgetSpent  = response.ErrBudgetSpent
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

// TryTake counts n more bytes as held and reports whether the budget allows that.
func (b *BodyBudget) TryTake(n int64) bool {
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

// Release counts n bytes as no longer held.
func (b *BodyBudget) Release(n int64) {
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
	h.budget.Release(h.counted)
	h.rest, h.counted = nil, 0
	return nil
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
	return response.ReadGrowing(src, length, maxBytes, UncountedRequestBytes, budget)
}
