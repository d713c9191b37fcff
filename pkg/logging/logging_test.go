package logging_test

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/pkg/logging"
)

// A caller's key must not appear in the log, whether it is logged in a message, a field, a nested value or an error.
func TestKeysAreRedacted(t *testing.T) {
	g := NewWithT(t)
	const key = "kjh7-Secret_Key"
	out := &bytes.Buffer{}
	log, err := logging.New(out, "info", func(w string) bool { return w == key })
	g.Expect(err).NotTo(HaveOccurred())
	log.WithField("header", map[string][]string{"Authorization": {"Bearer undeclared-key"}}).Info("call")
	log.WithField("authorization", "undeclared-key").Info("call")
	log.WithField(key, 1).WithField("path", "/a/"+key+"/b?k="+key).Info("refused " + key)
	log.WithError(errors.New("dial: bearer undeclared-key: refused")).Error("x")
	g.Expect(out.String()).NotTo(ContainSubstring(key))
	g.Expect(out.String()).NotTo(ContainSubstring("undeclared-key"))
	g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(4))
	g.Expect(out.String()).To(ContainSubstring("/a/" + logging.RedactedText + "/b"))
}
