package logging

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/sirupsen/logrus"
)

// RedactedText replaces a key in a log line.
const RedactedText = "[redacted]"

// minKeyLength is the shortest word in bytes that is compared with the declared keys.
const minKeyLength = 4

var credentials = regexp.MustCompile(`(?i)\b(bearer|basic)\s+[^\s"',;]+`)

// redactor is the only formatter of the logger, so no call site can write a key: it removes credentials in the
// form of an Authorization header, fields named after one, and every word that is a declared key.
type redactor struct {
	next  logrus.Formatter
	isKey func(word string) bool
}

// Format renders a copy of the entry whose message and fields hold no key.
func (r *redactor) Format(entry *logrus.Entry) ([]byte, error) {
	clean := *entry
	clean.Message = r.clean(entry.Message)
	clean.Data = make(logrus.Fields, len(entry.Data))
	for name, value := range entry.Data {
		clean.Data[r.clean(name)] = r.value(name, value)
	}
	return r.next.Format(&clean)
}

func (r *redactor) value(name string, value any) any {
	lower := strings.ToLower(name)
	if strings.Contains(lower, "authorization") || lower == "key" || lower == "secret" {
		return RedactedText
	}
	switch v := value.(type) {
	case bool, int, int64, uint64, uint32, float64:
		return v
	default:
		return r.clean(fmt.Sprint(v))
	}
}

func (r *redactor) clean(s string) string {
	s = credentials.ReplaceAllString(s, "$1 "+RedactedText)
	if r.isKey == nil {
		return s
	}
	// Both alphabets are tried: a key may hold the punctuation of base64, or stand between it as in a path.
	s = r.cleanWords(s, isToken)
	return r.cleanWords(s, isAlphanumeric)
}

func (r *redactor) cleanWords(s string, in func(c byte) bool) string {
	for i := 0; i < len(s); {
		end := i
		for end < len(s) && in(s[end]) {
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

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

func isToken(c byte) bool { return isAlphanumeric(c) || strings.IndexByte("._~+/=:", c) >= 0 }
