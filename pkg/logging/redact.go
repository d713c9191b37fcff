package logging

import (
	"fmt"
	"regexp"
	"strings"
	"unicode"

	"github.com/sirupsen/logrus"
)

// RedactedText replaces a key in a log line.
const RedactedText = "[redacted]"

// minKeyLength is the length in bytes of the shortest word that is compared with the declared keys.
const minKeyLength = 4

var credentials = regexp.MustCompile(`(?i)\b(bearer|basic)\s+[^\s"',;]+`)

// redactor is the formatter of the logger, so that every log entry passes it. It removes credentials in the form of an
// Authorization header, the values of fields whose names contain "authorization" or are "key" or "secret", and every
// word that is a declared key.
type redactor struct {
	formatter logrus.Formatter
	isKey     func(word string) bool
}

// Format formats a copy of the entry from whose message and fields all keys are removed.
func (r *redactor) Format(entry *logrus.Entry) ([]byte, error) {
	redacted := *entry
	redacted.Message = r.redact(entry.Message)
	redacted.Data = make(logrus.Fields, len(entry.Data))
	for name, value := range entry.Data {
		redacted.Data[r.redact(name)] = r.redactField(name, value)
	}
	return r.formatter.Format(&redacted)
}

func (r *redactor) redactField(name string, value any) any {
	lower := strings.ToLower(name)
	if strings.Contains(lower, "authorization") || lower == "key" || lower == "secret" {
		return RedactedText
	}
	switch v := value.(type) {
	case bool, int, int64, uint64, uint32, float64:
		return v
	default:
		return r.redact(fmt.Sprint(v))
	}
}

func (r *redactor) redact(s string) string {
	// Credentials consist of two words, and most names and values of a line are a single one.
	if strings.IndexFunc(s, unicode.IsSpace) >= 0 {
		s = credentials.ReplaceAllString(s, "$1 "+RedactedText)
	}
	if r.isKey == nil {
		return s
	}
	// Words are split in two ways, because a key may itself contain punctuation such as that of base64, or be
	// enclosed in punctuation as in a path.
	s = r.redactWords(s, isTokenByte)
	return r.redactWords(s, isBase64URLByte)
}

// redactWords replaces the declared keys among the words of s, which are the longest runs of bytes accepted by
// isWordByte.
func (r *redactor) redactWords(s string, isWordByte func(c byte) bool) string {
	for i := 0; i < len(s); {
		end := i
		for end < len(s) && isWordByte(s[end]) {
			end++
		}
		if end-i >= minKeyLength && r.isKey(s[i:end]) {
			s = s[:i] + RedactedText + s[end:]
			end = i + len(RedactedText)
		}
		i = max(end, i+1)
	}
	return s
}

func isBase64URLByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

func isTokenByte(c byte) bool { return isBase64URLByte(c) || strings.IndexByte("._~+/=:", c) >= 0 }
