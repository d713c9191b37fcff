package response

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

const (
	// MaxInterim bounds the interim responses before the final one.
	MaxInterim = 8
	// UncountedBytes is the part of each body, in bytes, that a Budget does not count. Most bodies are smaller, so other responses
	// still arrive when large or endless ones have used up the budget.
	UncountedBytes = 64 << 10
	// firstBufferBytes is the size in bytes of the first buffer for a body of unknown length.
	firstBufferBytes = 4 << 10
)

// Errors of Read besides those of heads and of the connection.
var (
	ErrInterim         = fmt.Errorf("%w: it switches protocols or has too many interim responses; answer plain HTTP", ErrMalformed)
	ErrUndelimitedBody = errors.New("the response has neither Content-Length nor chunks, so its end is uncertain; delimit it")
	ErrTooLarge        = errors.New("the body of the response is larger than this process accepts; send a smaller body")
	ErrBudgetSpent     = errors.New("this process holds too many bytes of bodies at once; send smaller bodies or fewer large ones at once")
)

// Budget bounds the bytes of the bodies that several reads hold at once.
type Budget interface {
	// TryTake counts n more bytes as held and reports whether the budget allows that.
	TryTake(n int64) bool
	// Release counts n bytes as no longer held.
	Release(n int64)
}

// Limits bound what Read accepts and holds. The deadline of the connection bounds its time.
type Limits struct {
	// MaxBodyBytes is the size of the largest body.
	MaxBodyBytes int
	// Budget counts all but the first UncountedBytes of the body while it is being read.
	Budget Budget
	// AllowCloseDelimited accepts a body whose end is marked only by an orderly close of the connection. Such a body may have been cut
	// short.
	AllowCloseDelimited bool
}

// Unlimited is a Budget without a bound.
type Unlimited struct{}

// TryTake returns true.
func (Unlimited) TryTake(int64) bool { return true }

// Release does nothing.
func (Unlimited) Release(int64) {}

// Read reads the final response to a request, and its complete body, into resp. headRequest says that the request had the method HEAD.
// After an error, resp must not be used and the connection must be closed.
func Read(r *bufio.Reader, resp *fasthttp.Response, headRequest bool, limits *Limits) error {
	resp.SkipBody = headRequest
	// The body of an earlier attempt must not remain in a response that has no body.
	resp.ResetBody()
	for n := 0; ; n++ {
		if err := ReadHead(r, &resp.Header); err != nil {
			return err
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if n >= MaxInterim || resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return ErrInterim
		}
	}
	if headRequest || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	return readBody(r, resp, limits)
}

// readBody reads the body of a response whose head has been read. Memory is allocated only as bytes arrive, because the announced length
// of a body or chunk says nothing about how much of it will come. fasthttp returns the length -2 for a body that ends with the
// connection, and -1 for a chunked body.
func readBody(r *bufio.Reader, resp *fasthttp.Response, limits *Limits) error {
	switch length := resp.Header.ContentLength(); {
	case length > limits.MaxBodyBytes:
		return ErrTooLarge
	case length >= 0 && length <= UncountedBytes:
		return resp.ReadBody(r, limits.MaxBodyBytes)
	case length >= 0:
		return readBodyInto(resp, r, length, length, limits.Budget)
	case length == -1:
		if err := readBodyInto(resp, httputil.NewChunkedReader(r), -1, limits.MaxBodyBytes, limits.Budget); err != nil {
			return err
		}
		return DiscardTrailer(r)
	case !limits.AllowCloseDelimited:
		return ErrUndelimitedBody
	}
	if err := readBodyInto(resp, r, -1, limits.MaxBodyBytes, limits.Budget); err != nil {
		return err
	}
	resp.Header.SetContentLength(len(resp.Body()))
	return nil
}

// readBodyInto reads a body of length bytes, or up to the end of src if length is -1, and makes it the body of resp.
func readBodyInto(resp *fasthttp.Response, src io.Reader, length, maxBytes int, budget Budget) error {
	body, counted, err := ReadGrowing(src, length, maxBytes, UncountedBytes, budget)
	budget.Release(counted)
	if err == nil {
		resp.SetBodyRaw(body)
	}
	return err
}

// ReadGrowing reads a body of length bytes, or up to the end of src if length is -1, into a buffer that is at most twice as large as what
// has arrived. counted is what the budget counts of the buffer, all but its first uncounted bytes, until the caller releases it, also
// after an error. With ErrBudgetSpent and ErrTooLarge, body holds what was read.
func ReadGrowing(src io.Reader, length, maxBytes, uncounted int, budget Budget) (body []byte, counted int64, err error) {
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
			if !budget.TryTake(more) {
				return body, counted, ErrBudgetSpent
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
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
