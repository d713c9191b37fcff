package sidecar

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// Guards against a JSON field of the request that hides one of the embedded position. The wait once had the same name
// as the list of VMs with wide links, so each node with a wide link took itself for the only one and read the store.
func TestStoreChangesRequestEncodesWholePosition(t *testing.T) {
	g := NewWithT(t)
	sent := storeChangesRequest{
		Position: mesh.Position{Era: 3, Revision: 7, LargeDigests: map[string]uint64{"c": 5}, ContentsDigest: 6, WideLinksDigest: 9, WideLinkVMs: []string{"10.0.0.1"}}, WaitMS: 500, Eras: true,
	}
	data, err := json.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	var received storeChangesRequest
	g.Expect(json.Unmarshal(data, &received)).To(Succeed())
	g.Expect(received).To(Equal(sent))
}

// Guards against a JSON field of the response that hides one of the embedded delta.
func TestStoreChangesResponseEncodesWholeDelta(t *testing.T) {
	g := NewWithT(t)
	sent := storeChangesResponse{Delta: mesh.Delta{
		Entries: []mesh.Entry{{Key: "a", Value: "x", Revision: 5, Removed: true, Base: 7, Result: 8, Unchanged: true, Patch: []mesh.PatchStep{{Text: "y"}}}},
		Era:     3, Revision: 7, Full: true, ContentsDigest: 10, StoreAge: 9, Uninterrupted: true, EraAge: 11, WideLinksDigest: 13, WideLinkVMs: []string{"10.0.0.1"},
	}, Eras: true, SameLinks: true}
	data, err := json.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	var received storeChangesResponse
	g.Expect(json.Unmarshal(data, &received)).To(Succeed())
	g.Expect(received).To(Equal(sent))
}

// Load: an update of the nodes one after the other, against a store that sends its era. Guards against readers that
// send all entries to nodes of the earlier release with each read, and against updated nodes that refuse the answers of
// such readers and all read the store.
func TestNodesOfEarlierReleaseCountAsInSameEra(t *testing.T) {
	g := NewWithT(t)
	var request storeChangesRequest
	g.Expect(json.Unmarshal([]byte(`{"r":7,"l":{"c":5},"t":500}`), &request)).To(Succeed())
	g.Expect(request.positionIn(3)).To(Equal(mesh.Position{Era: 3, Revision: 7, LargeDigests: map[string]uint64{"c": 5}}))
	g.Expect((&storeChangesRequest{Position: mesh.Position{Era: 2, Revision: 7}, Eras: true}).positionIn(3).Era).To(Equal(uint64(2)))
	var response storeChangesResponse
	g.Expect(json.Unmarshal([]byte(`{"r":8,"a":1}`), &response)).To(Succeed())
	g.Expect(response.deltaAfter(mesh.Position{Era: 3, Revision: 7})).To(Equal(mesh.Delta{Era: 3, Revision: 8, StoreAge: 1}))
	g.Expect((&storeChangesResponse{}).deltaAfter(mesh.Position{Era: 3})).To(Equal(mesh.Delta{}), "a node without contents is in no era")
	g.Expect((&storeChangesResponse{Delta: mesh.Delta{Era: 2, Revision: 8}, Eras: true}).deltaAfter(mesh.Position{Era: 3}).Era).To(Equal(uint64(2)))
}

// Guards against a reader that hides from a follower of an earlier release that it knows the same wide links, which would send
// its list with each read, and against a follower that takes the short form for other links or for an earlier release.
func TestResponseLeavesOutWhatFollowerKnows(t *testing.T) {
	g := NewWithT(t)
	follower := mesh.Position{Era: 3, Revision: 7, ContentsDigest: 6, WideLinksDigest: 9}
	d := mesh.Delta{Era: 3, Revision: 7, StoreAge: 1, WideLinksDigest: 9}
	for _, c := range []struct {
		follower mesh.Position
		delta    mesh.Delta
		short    bool
	}{
		{follower, d, true},
		{mesh.Position{Era: 3, Revision: 7, WideLinksDigest: 9}, d, false},
		{mesh.Position{Era: 3, Revision: 7, ContentsDigest: 6, WideLinksDigest: 8}, d, false},
		{follower, mesh.Delta{Era: 3, Revision: 7, StoreAge: 1}, false},
	} {
		sent := newStoreChangesResponse(c.follower, c.delta)
		g.Expect(sent.SameLinks).To(Equal(c.short))
		g.Expect(sent.Eras).To(Equal(!c.short), "followers of an earlier release need it")
		data, err := json.Marshal(sent)
		g.Expect(err).NotTo(HaveOccurred())
		var received storeChangesResponse
		g.Expect(json.Unmarshal(data, &received)).To(Succeed())
		g.Expect(received.deltaAfter(c.follower)).To(Equal(c.delta))
	}
}
