package sidecar

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// The wait hid the list of wide links, which has the same name inside the position. Each node with a wide link then took
// itself for the only one and read the store.
func TestAFeedRequestCarriesAllOfThePosition(t *testing.T) {
	g := NewWithT(t)
	sent := feedRequest{
		Position: mesh.Position{Revision: 7, LargeRevisions: map[string]uint64{"c": 5}, WideLinksDigest: 9, WideLinkVMs: []string{"10.0.0.1"}}, WaitMS: 500,
	}
	data, err := json.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	var received feedRequest
	g.Expect(json.Unmarshal(data, &received)).To(Succeed())
	g.Expect(received).To(Equal(sent))
}
