package operatorcli

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// Edits must work with any layout of the file, including other lists, nested objects, escapes and empty lists, and must
// not change the rest of the file.
func TestEditsKeepTheLayout(t *testing.T) {
	g := NewWithT(t)
	text := "{ \"other\":[{\"id\":\"k\",\"state\":\"x\"}],\n\t\"keys\" :\n[\n\t\t{\"x\":{\"state\":1},\"state\" : \"a\\u002c\" ,\"id\":\"k\"}\n\t, {\"id\":\"j\"} ] }"
	file, changed, err := setField(map[string][]byte{"f": []byte(text)}, "keys", "id", "k", "state", "b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(file).To(Equal("f"))
	g.Expect(string(changed)).To(Equal("{ \"other\":[{\"id\":\"k\",\"state\":\"x\"}],\n\t\"keys\" :\n[\n\t\t{\"x\":{\"state\":1},\"state\" : \"b\" ,\"id\":\"k\"}\n\t, {\"id\":\"j\"} ] }"))

	key := config.Key{ID: "n", Team: "t", Digest: "d", State: config.KeyGranted}
	const added = `{"id":"n","team":"t","digest":"d","state":"granted"}`
	for text, want := range map[string]string{
		`{"keys":[]}`:                               "{\"keys\":[\n    " + added + "\n  ]}",
		"{\"keys\": [\n  {\"id\":\"a\"}\n]}":        "{\"keys\": [\n  {\"id\":\"a\"},\n  " + added + "\n]}",
		`{"teams":[], "keys":[{"id":"a"}], "x":[]}`: `{"teams":[], "keys":[{"id":"a"},` + added + `], "x":[]}`,
	} {
		changed, ok, err := appendKey([]byte(text), key)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ok).To(BeTrue())
		g.Expect(string(changed)).To(Equal(want))
	}
	_, ok, err := appendKey([]byte(`{"teams":[]}`), key)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ok).To(BeFalse())
}
