package response_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
)

const bufferSize = 1 << 10

// pieces returns a reader whose reads divide the text in various ways.
func pieces(text string) map[string]io.Reader {
	return map[string]io.Reader{
		"whole": strings.NewReader(text), "halves": iotest.HalfReader(strings.NewReader(text)), "bytes": iotest.OneByteReader(strings.NewReader(text)),
	}
}

// errSilent is the error of a connection that carries no more bytes before its deadline.
var errSilent = errors.New("silent")

// Guards against a malformed line that reaches the parser, in whatever place, and against waiting for the rest of a head that is
// malformed already.
func TestMalformedHeadIsRefused(t *testing.T) {
	heads := map[string]error{
		"HTTP/1.1 000 OK\r\n": response.ErrInvalidStatus, "HTTP/1.1 099 OK\r\n": response.ErrInvalidStatus,
		"HTTP/1.1 600\r\n": response.ErrInvalidStatus, "HTTP/1.1\r\n": response.ErrInvalidStatus, "\r\n\nHTTP/1.1 2x0 OK\r\n": response.ErrInvalidStatus,
		"HTTP/1.1 200 O\x00K\r\n": response.ErrInvalidHead, "HTTP/1.1 200 O\rK\r\n": response.ErrInvalidHead, "HTTP/1.1 200 \x7f\r\n": response.ErrInvalidHead,
		"HTTP/2.0 200 OK\r\n": response.ErrInvalidHead, "HTTP/1.10 200 OK\r\n": response.ErrInvalidHead, "ICY 200 OK\r\n": response.ErrInvalidHead,
		"HTTP/1.x 200 OK\r\n": response.ErrInvalidHead, "http/1.1 200 OK\r\n": response.ErrInvalidHead,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", bufferSize):                           response.ErrHeadTooLarge,
		strings.Repeat("x", bufferSize):                                                      response.ErrHeadTooLarge,
		"HTTP/1.1 200 OK\n\n":                                                                response.ErrInvalidHead,
		"HTTP/1.1 200 OK\r\nA: b\r\n\n":                                                      response.ErrInvalidHead,
		"HTTP/1.1 200 OK\r\nA: b\n\r\n":                                                      response.ErrInvalidHead,
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n":                                      response.ErrMalformed,
		"HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\n":                                    response.ErrMalformed,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n":                  response.ErrMalformed,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":         response.ErrAmbiguousEnd,
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nA: b\r\ncontent-length: 1\r\n\r\n": response.ErrAmbiguousEnd,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                              response.ErrAmbiguousEnd,
		"\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                          response.ErrAmbiguousEnd,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n":                                 response.ErrMalformed,
	}
	for b := range 256 {
		name := string([]byte{'A', byte(b), 'B'})
		if strings.ContainsAny(name, "()<>@,;:\\\"/[]?={} \t") || b < ' ' || b >= 0x7f {
			if b != ':' {
				heads["HTTP/1.1 200 OK\r\n"+name+": c\r\n"] = response.ErrInvalidField
			}
		}
		if (b < ' ' && b != '\t' && b != '\n') || b == 0x7f {
			heads["HTTP/1.1 200 OK\r\nA: b"+string([]byte{byte(b)})+"c\r\n"] = response.ErrInvalidField
		}
	}
	for _, line := range []string{" A: b", "\tA: b", "A : b", "A\t: b", ": b", "A", "A: b\r\n c", "A: b\r\n\tc: d", "A: b\r\n "} {
		heads["HTTP/1.1 200 OK\r\n"+line+"\r\n"] = response.ErrInvalidField
		heads["HTTP/1.1 103 Hints\r\nB: c\r\n"+line+"\r\n"] = response.ErrInvalidField
	}
	for head, expected := range heads {
		for division, text := range pieces(head) {
			t.Run(fmt.Sprintf("%.60q in %s", head, division), func(t *testing.T) {
				g := NewWithT(t)
				header := &fasthttp.ResponseHeader{}
				r := bufio.NewReaderSize(io.MultiReader(text, iotest.ErrReader(errSilent)), bufferSize)
				err := response.ReadHead(r, header)
				g.Expect(err).To(MatchError(expected))
				g.Expect(err).To(MatchError(response.ErrMalformed))
			})
		}
	}
}

// Guards against refusing heads that are valid: each token and each text, empty values, blanks around a value, single line feeds
// within the head, and empty lines before it.
func TestValidHeadIsRead(t *testing.T) {
	texts := strings.Builder{}
	for b := range 256 {
		if b == '\t' || (b >= ' ' && b != 0x7f) {
			texts.WriteByte(byte(b))
		}
	}
	heads := map[string][2]string{
		"HTTP/1.1 200 OK\r\n\r\n": {}, "HTTP/1.1 200\r\n\r\n": {}, "HTTP/1.1 200 \r\n\r\n": {}, "HTTP/1.0  200 OK\r\n\r\n": {},
		"\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": {},
		"\r\n\n\r\nHTTP/1.1 200 \xe9 \t!\r\n\r\n":                   {},
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                           {"A", "b"},
		"HTTP/1.1 200 OK\r\nA:b\r\n\r\n":                            {"A", "b"},
		"HTTP/1.1 200 OK\r\nA: \t b \t \r\n\r\n":                    {"A", "b"},
		"HTTP/1.1 200 OK\r\nA:\r\nB: c: d\r\n\r\n":                  {"B", "c: d"},
		"HTTP/1.1 200 OK\nA: b\nB: c\r\n\r\n":                       {"B", "c"},
		"HTTP/1.1 200 OK\r\nA!#$%&'*+-.^_`|~9z: b\r\n\r\n":          {"A!#$%&'*+-.^_`|~9z", "b"},
		"HTTP/1.1 200 OK\r\nA: x" + texts.String() + "x\r\n\r\n":    {"A", "x" + texts.String() + "x"},
	}
	for head, field := range heads {
		for division, text := range pieces(head + "body") {
			t.Run(fmt.Sprintf("%.60q in %s", head, division), func(t *testing.T) {
				g := NewWithT(t)
				header := &fasthttp.ResponseHeader{}
				r := bufio.NewReaderSize(text, bufferSize)
				g.Expect(response.ReadHead(r, header)).To(Succeed())
				g.Expect(header.StatusCode()).To(Equal(fasthttp.StatusOK))
				if field[0] != "" {
					header.DisableNormalizing()
					g.Expect(string(header.Peek(field[0]))).To(Equal(field[1]))
				}
				rest, err := io.ReadAll(r)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(rest)).To(Equal("body"))
			})
		}
	}
}

// Guards against a connection that ends or fails and is taken for a malformed response, or the other way round.
func TestErrorOfConnectionIsKept(t *testing.T) {
	for _, text := range []string{"", "H", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nA: b\r\n", "\r\n"} {
		g := NewWithT(t)
		read := func(end error) error {
			r := bufio.NewReaderSize(io.MultiReader(strings.NewReader(text), iotest.ErrReader(end)), bufferSize)
			return response.ReadHead(r, &fasthttp.ResponseHeader{})
		}
		g.Expect(read(errSilent)).To(MatchError(errSilent), text)
		g.Expect(read(errSilent)).NotTo(MatchError(response.ErrMalformed), text)
		if text == "" {
			g.Expect(read(io.EOF)).To(Equal(io.EOF))
		} else {
			g.Expect(read(io.EOF)).To(Equal(io.ErrUnexpectedEOF), text)
		}
	}
}

// Guards against a trailer section that is read beyond its end, or in which lines are accepted that a head must not have.
func TestTrailerSectionIsDiscarded(t *testing.T) {
	sections := map[string]error{
		"\r\n": nil, "A: b\r\n\r\n": nil, "A: b\nC: d\r\n\r\n": nil, "\n": response.ErrInvalidHead, "A: b\r\n\n": response.ErrInvalidHead,
		"A: b\n\r\n": response.ErrInvalidHead, "": io.ErrUnexpectedEOF, "A: b\r\n": io.ErrUnexpectedEOF,
		"A B: c\r\n": response.ErrInvalidField, "A : b\r\n\r\n": response.ErrInvalidField, " A: b\r\n\r\n": response.ErrInvalidField,
		"A: b\r\n c\r\n\r\n": response.ErrInvalidField, "A: b\x00\r\n\r\n": response.ErrInvalidField, "A\r\n\r\n": response.ErrInvalidField,
		"A: " + strings.Repeat("x", bufferSize): response.ErrHeadTooLarge,
	}
	for section, expected := range sections {
		rest := ""
		if expected == nil {
			rest = "HTTP"
		}
		for division, text := range pieces(section + rest) {
			t.Run(fmt.Sprintf("%.60q in %s", section, division), func(t *testing.T) {
				g := NewWithT(t)
				r := bufio.NewReaderSize(text, bufferSize)
				err := response.DiscardTrailer(r)
				if expected != nil {
					g.Expect(err).To(MatchError(expected))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				left, err := io.ReadAll(r)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(left)).To(Equal(rest))
			})
		}
	}
}
