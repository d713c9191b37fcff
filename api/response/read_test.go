package response_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
)

// maxBody is larger than the part of a body that a budget does not count, so that bodies are read in each way.
const maxBody = 4 * response.UncountedBytes

// read reads a response from the text, followed by the end.
func read(text, end io.Reader, allowCloseDelimited bool) (*fasthttp.Response, error) {
	resp := &fasthttp.Response{}
	r := bufio.NewReaderSize(io.MultiReader(text, end), bufferSize)
	return resp, response.Read(r, resp, false, &response.Limits{
		MaxBodyBytes: maxBody, Budget: response.Unlimited{}, AllowCloseDelimited: allowCloseDelimited,
	})
}

// Guards against a response that is cut, by a close or by silence, and counts as whole: in its head, an interim response, a chunk line, a
// chunk, the trailer section, and bodies that are read at once or into a growing buffer.
func TestCutResponseIsNoResponse(t *testing.T) {
	large := strings.Repeat("b", response.UncountedBytes+10)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n1\r\n!\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: " + fmt.Sprint(len(large)) + "\r\n\r\n" + large,
	} {
		g := NewWithT(t)
		_, err := read(strings.NewReader(text), strings.NewReader(""), true)
		g.Expect(err).NotTo(HaveOccurred(), "%.60q", text)
		for cut := 0; cut < len(text); cut++ {
			if cut == bufferSize {
				cut = len(text) - bufferSize
			}
			_, err := read(strings.NewReader(text[:cut]), strings.NewReader(""), true)
			g.Expect(err).To(HaveOccurred(), "closed after %d bytes of %.60q", cut, text)
			_, err = read(strings.NewReader(text[:cut]), iotest.ErrReader(errSilent), true)
			g.Expect(err).To(HaveOccurred(), "silent after %d bytes of %.60q", cut, text)
		}
	}
}

// Guards against chunk lines that parsers read in different ways, and against chunks that do not end where their line says.
func TestMalformedChunksAreRefused(t *testing.T) {
	for _, body := range []string{
		"g\r\n", "-4\r\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n", "+4\r\nbody\r\n0\r\n\r\n", "\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n",
		"4\nbody\r\n0\r\n\r\n", "4\r\r\nbody\r\n0\r\n\r\n", "4;a\rb\r\nbody\r\n0\r\n\r\n", "4\r\nbodyX\r\n0\r\n\r\n", "4\r\nbody\n0\r\n\r\n", "4\r\nbody0\r\n\r\n",
		"10000000000000004\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n0\n\r\n", "4\r\nbody\r\n0\r\n\n", "4\r\nbody\r\n0\r\nA B: c\r\n\r\n",
	} {
		for division, text := range pieces("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body) {
			resp, err := read(text, strings.NewReader(""), true)
			NewWithT(t).Expect(err).To(HaveOccurred(), "%q in %s was read as %q", body, division, resp.Body())
		}
	}
}

// endless repeats a text without end.
type endless struct {
	text string
	at   int
}

func (e *endless) Read(b []byte) (int, error) {
	n := copy(b, e.text[e.at:])
	e.at = (e.at + n) % len(e.text)
	return n, nil
}

// Guards against reading on for as long as bytes come, in each part of a response.
func TestEndlessPartIsRefused(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, part := range map[string]struct{ first, repeated string }{
		"empty lines": {"", "\r\n"}, "version": {"", "x"}, "spaces before the status": {"HTTP/1.1", " "}, "reason": {"HTTP/1.1 200 ", "x"}, "field": {ok + "A: ", "x"},
		"name": {ok, "x"}, "fields": {ok, "A: b\r\n"}, "interim responses": {"", "HTTP/1.1 103 Hints\r\n\r\n"},
		"field of an interim response": {"HTTP/1.1 103 Hints\r\nA: ", "x"}, "chunk size": {chunked, "0"}, "chunk extension": {chunked + "1;", "x"},
		"chunk extensions": {chunked, "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"}, "small chunks": {chunked, "1\r\nx\r\n"},
		"chunk": {chunked + "ffffffff\r\n", "x"}, "trailer field": {chunked + "0\r\nA: ", "x"}, "trailer fields": {chunked + "0\r\n", "A: b\r\n"},
		"length": {ok + "Content-Length: 9223372036854775807\r\n\r\n", "x"}, "until the close": {ok + "\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := read(strings.NewReader(part.first), &endless{text: part.repeated}, true)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against a status that is not three digits from 100 to 599, also of an interim response, wherever reads divide the response, and
// against a valid response that is refused or changed.
func TestOnlyValidStatusesAreRead(t *testing.T) {
	const rest, body = "\r\nContent-Length: 10\r\n\r\n", "HTTP/1.1 0\n"
	const hints = "HTTP/1.1 103 Hints\r\nLink: 1\r\n\r\n"
	valid := map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.0  599 x": 599, "\r\n\nHTTP/1.1 404 No": 404, hints + "HTTP/1.1 100\r\n\r\nHTTP/1.1 200 OK": 200,
	}
	for start, code := range valid {
		for division, text := range pieces(start + rest + body) {
			g := NewWithT(t)
			resp, err := read(text, strings.NewReader(""), false)
			g.Expect(err).NotTo(HaveOccurred(), "%q in %s", start, division)
			g.Expect(resp.StatusCode()).To(Equal(code))
			g.Expect(string(resp.Body())).To(Equal(body[:10]))
		}
	}
	for _, start := range []string{
		"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 -1 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 0200 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  OK", "\r\nHTTP/1.1 000",
		"HTTP/1.1 1x0\r\n\r\nHTTP/1.1 200 OK", hints + "HTTP/1.1 000 OK", "HTTP/1.1 100\r\n\r\nHTTP/1.1 600",
	} {
		for division, text := range pieces(start + rest + "leaked") {
			g := NewWithT(t)
			resp, err := read(text, strings.NewReader(""), false)
			g.Expect(err).To(MatchError(response.ErrInvalidStatus), "%q in %s", start, division)
			g.Expect(resp.String()).NotTo(ContainSubstring("leaked"))
		}
	}
	_, err := read(strings.NewReader("HTTP/1.1 101 Switch\r\n\r\n"+body), strings.NewReader(""), false)
	NewWithT(t).Expect(err).To(MatchError(response.ErrInterim))
}
