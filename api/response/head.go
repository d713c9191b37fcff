// Package response reads HTTP/1 responses. It is the only place that decides which bytes are a response, so that all clients of
// the project refuse the same ones.
package response

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// Errors of bytes that are no response. Nothing is known about the outcome of the request, and the connection must be closed. All
// of them wrap ErrMalformed.
var (
	ErrMalformed     = errors.New("the server's bytes are not an HTTP response")
	ErrInvalidStatus = fmt.Errorf("%w: there is no valid status code; make the server answer with three digits from 100 to 599", ErrMalformed)
	ErrInvalidHead   = fmt.Errorf("%w: the status line or the end of the section is not valid; make the server answer in HTTP/1, with CRLF at the end", ErrMalformed)
	ErrInvalidField  = fmt.Errorf("%w: a field line is not valid; make the server send names that are tokens and values without control bytes", ErrMalformed)
	ErrAmbiguousEnd  = fmt.Errorf("%w: it is not certain where the body ends; make the server send either a length or, in HTTP/1.1, chunks", ErrMalformed)
	ErrHeadTooLarge  = fmt.Errorf("%w: the head or the trailer section is too large; make the server send fewer fields", ErrMalformed)
)

const (
	minStatus    = 100
	maxStatus    = 599
	statusDigits = 3
)

// versionPrefix is how each HTTP/1 response starts. A digit follows.
const versionPrefix = "HTTP/1."

// sectionEnd ends a head, and a trailer section unless that has no fields.
var sectionEnd = []byte("\r\n\r\n")

// Classes of the bytes in a field line.
const (
	// tokenByte may be part of a token (RFC 9110, section 5.6.2).
	tokenByte = 1 << iota
	// textByte may be part of a field value or a reason phrase (RFC 9110, section 5.5).
	textByte
)

var byteClasses = classifyBytes()

func classifyBytes() (classes [256]byte) {
	for b := range 256 {
		if b == '\t' || (b >= ' ' && b != 0x7f) {
			classes[b] |= textByte
		}
		if ('a' <= b && b <= 'z') || ('A' <= b && b <= 'Z') || ('0' <= b && b <= '9') || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(b)) >= 0 {
			classes[b] |= tokenByte
		}
	}
	return classes
}

// allOf reports whether each byte of the text is of the class.
func allOf(text []byte, class byte) bool {
	for _, b := range text {
		if byteClasses[b]&class == 0 {
			return false
		}
	}
	return true
}

// checkStatusLine returns an error unless the line, given without its line end, is the first one of an HTTP/1 response with a status
// of three digits from 100 to 599. The parser of fasthttp accepts any three digits and reports 000 as 200.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	if len(status) != statusDigits {
		return ErrInvalidStatus
	}
	code := 0
	for _, b := range status {
		if b < '0' || b > '9' {
			return ErrInvalidStatus
		}
		code = code*10 + int(b-'0')
	}
	if code < minStatus || code > maxStatus {
		return ErrInvalidStatus
	}
	minor, ok := bytes.CutPrefix(version, []byte(versionPrefix))
	if !ok || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' || !allOf(reason, textByte) {
		return ErrInvalidHead
	}
	return nil
}

// checkField returns an error unless the line, given without its line end, is a valid field line. Blanks before the colon and
// continuation lines are refused (RFC 9112, sections 5.1 and 5.2): parsers that tolerate them disagree on the name, so one of them
// may take such a line for Content-Length or Transfer-Encoding while another passes it on.
func checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || len(name) == 0 || !allOf(name, tokenByte) || !allOf(value, textByte) {
		return ErrInvalidField
	}
	return nil
}

// ReadHead reads the head of a response, or of an interim response, into header. It returns an error that wraps ErrMalformed as soon
// as a line is not valid, before anything of the head is parsed. Other errors are those of the connection; io.EOF means that no byte
// of a response came.
func ReadHead(r *bufio.Reader, header *fasthttp.ResponseHeader) error {
	head, err := peekSection(r, checkStatusLine)
	if err != nil {
		return err
	}
	// After other line ends, parsers disagree on whether the head has ended.
	if !bytes.HasSuffix(head, sectionEnd) {
		return ErrInvalidHead
	}
	if hasAmbiguousEnd(head) {
		return ErrAmbiguousEnd
	}
	if err := header.Read(r); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// hasAmbiguousEnd reports whether a head, whose lines are valid, has both a length and a transfer coding, or a transfer coding in a
// version that has none (RFC 9112, sections 6.1 and 6.3).
func hasAmbiguousEnd(head []byte) bool {
	statusLine, fields, _ := bytes.Cut(bytes.TrimLeft(head, "\r\n"), []byte{'\n'})
	length, coding := false, false
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, []byte{'\n'})
		name, _, _ := bytes.Cut(line, []byte{':'})
		length = length || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
		coding = coding || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	}
	return coding && (length || !bytes.HasPrefix(statusLine, []byte("HTTP/1.1 ")))
}

// DiscardTrailer reads the trailer section behind the last chunk of a body. It checks the fields like those of a head and drops them:
// a recipient must not take them for fields of the head unless their definition allows that (RFC 9110, section 6.5.1).
func DiscardTrailer(r *bufio.Reader) error {
	section, err := peekSection(r, nil)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if string(section) != "\r\n" && !bytes.HasSuffix(section, sectionEnd) {
		return ErrInvalidHead
	}
	_, err = r.Discard(len(section))
	return err
}

// peekSection returns a head or a trailer section up to the empty line that ends it, after checking each line as soon as it is
// complete. The section stays in the reader, whose buffer bounds it. checkFirst, if not nil, checks the first line; empty lines before
// that are skipped, as by parsers.
func peekSection(r *bufio.Reader, checkFirst func(line []byte) error) ([]byte, error) {
	lineStart, searched := 0, 0
	for {
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, sectionError(r, err)
		}
		buffered, _ := r.Peek(r.Buffered())
		for searched < len(buffered) {
			length := bytes.IndexByte(buffered[searched:], '\n')
			if length < 0 {
				searched = len(buffered)
				break
			}
			line := bytes.TrimSuffix(buffered[lineStart:searched+length], []byte{'\r'})
			searched += length + 1
			lineStart = searched
			check := checkField
			switch {
			case len(line) == 0 && checkFirst == nil:
				return buffered[:searched], nil
			case len(line) == 0:
				continue
			case checkFirst != nil:
				check, checkFirst = checkFirst, nil
			}
			if err := check(line); err != nil {
				return nil, err
			}
		}
	}
}

// sectionError returns the error of a section that does not end.
func sectionError(r *bufio.Reader, err error) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrHeadTooLarge
	case errors.Is(err, io.EOF) && r.Buffered() > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}
