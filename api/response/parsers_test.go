package response_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/response"
)

// Guards against a response on which two parsers disagree: where it ends, or which fields it has. Each response that Read accepts must mean
// the same to the parser of the standard library, which stands for the callers.
func TestAcceptedResponsesMeanTheSameToOtherParsers(t *testing.T) {
	lines := []string{
		"Content-Length: 4", "Transfer-Encoding: chunked", "Connection: close", "A: b", "A:b", "A : b", " A: b", "A B: c", "Content-Length : 9",
		"Transfer-Encoding : chunked", "Content-Length: 4, 4", "transfer-encoding: Chunked", "Content-Length: +4", "Content-Length: 04",
	}
	starts := []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 204 None", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 304 Same"}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom(starts).Draw(t, "start") + "\r\n"
		for range rapid.IntRange(0, 3).Draw(t, "lines") {
			text += rapid.SampledFrom(lines).Draw(t, "line") + rapid.SampledFrom([]string{"\r\n", "\r\n", "\n"}).Draw(t, "end")
		}
		text += "\r\n" + rapid.SampledFrom([]string{"4\r\nbody\r\n0\r\n\r\n", "body", "0\r\n\r\n", "body0\r\n\r\n"}).Draw(t, "body")
		bytes := []byte(text)
		if rapid.Bool().Draw(t, "mutate") {
			bytes[rapid.IntRange(0, len(bytes)-1).Draw(t, "position")] = rapid.Byte().Draw(t, "byte")
		}
		resp := &fasthttp.Response{}
		limits := response.Limits{MaxBodyBytes: 1 << 10, Budget: response.Unlimited{}, AllowCloseDelimited: true}
		if response.Read(bufio.NewReader(strings.NewReader(string(bytes))), resp, false, &limits) != nil {
			return
		}
		r := bufio.NewReader(strings.NewReader(string(bytes)))
		other, err := http.ReadResponse(r, nil)
		for err == nil && other.StatusCode < http.StatusOK {
			_ = other.Body.Close()
			other, err = http.ReadResponse(r, nil)
		}
		if err != nil {
			t.Fatalf("%q was accepted, the other parser says %v", bytes, err)
		}
		defer func() { _ = other.Body.Close() }()
		body, err := io.ReadAll(other.Body)
		if err != nil || string(body) != string(resp.Body()) || other.StatusCode != resp.StatusCode() {
			t.Fatalf("%q has status %d and body %q, the other parser says %d, %q, %v", bytes, resp.StatusCode(), resp.Body(), other.StatusCode, body, err)
		}
		if value := string(resp.Header.Peek("A")); value != other.Header.Get("A") {
			t.Fatalf("%q has the field %q, the other parser says %q", bytes, value, other.Header.Get("A"))
		}
	})
}
