package wire_test

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

var (
	sampleRequest = wire.LeaseRequest{
		Settlements:   []wire.Settlement{{Lease: 1<<40 + 7, Used: 3}, {Lease: 2}},
		TokenRequests: []wire.TokenRequest{{Team: "colecao-padre", Tokens: 12, LeaseDurationMS: 4000}, {Team: "ü", Tokens: 1}},
	}
	sampleResponse = wire.LeaseResponse{Grants: []wire.Grant{{Lease: 1 << 63, Tokens: 12, RetryMS: 40}, {RetryMS: 4000}}}
)

// Guards against an encoding that loses a field.
func TestLeaseMessagesSurviveEncoding(t *testing.T) {
	g := NewWithT(t)
	encoded, err := sampleRequest.AppendBinary(nil)
	g.Expect(err).NotTo(HaveOccurred())
	var request wire.LeaseRequest
	g.Expect(request.UnmarshalBinary(encoded)).To(Succeed())
	g.Expect(request).To(Equal(sampleRequest))
	encoded, err = sampleResponse.AppendBinary(nil)
	g.Expect(err).NotTo(HaveOccurred())
	var response wire.LeaseResponse
	g.Expect(response.UnmarshalBinary(encoded)).To(Succeed())
	g.Expect(response).To(Equal(sampleResponse))
}

// Guards against messages that are cut off, have bytes left over or announce lists that they do not hold: none of them
// may be taken for a shorter message or make the reader allocate what they announce.
func TestMalformedLeaseMessagesAreRefused(t *testing.T) {
	g := NewWithT(t)
	encoded, err := sampleRequest.AppendBinary(nil)
	g.Expect(err).NotTo(HaveOccurred())
	var request wire.LeaseRequest
	for n := range encoded {
		g.Expect(request.UnmarshalBinary(encoded[:n])).To(MatchError(wire.ErrMalformedLeaseMessage), "%d bytes", n)
	}
	g.Expect(request.UnmarshalBinary(append(encoded, 0))).To(MatchError(wire.ErrMalformedLeaseMessage))
	huge := []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}
	g.Expect(request.UnmarshalBinary(huge)).To(MatchError(wire.ErrMalformedLeaseMessage))
	var response wire.LeaseResponse
	g.Expect(response.UnmarshalBinary(huge)).To(MatchError(wire.ErrMalformedLeaseMessage))
}

func TestFramesKeepTheirBounds(t *testing.T) {
	g := NewWithT(t)
	stream := wire.AppendFrame(wire.AppendFrame(nil, []byte("abc")), nil)
	r := bufio.NewReader(bytes.NewReader(stream))
	g.Expect(wire.ReadFrame(r)).To(Equal([]byte("abc")))
	g.Expect(wire.ReadFrame(r)).To(BeEmpty())
	_, err := wire.ReadFrame(r)
	g.Expect(err).To(MatchError(io.EOF))
	_, err = wire.ReadFrame(bufio.NewReader(bytes.NewReader(stream[:2])))
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	tooLarge := wire.AppendFrame(nil, make([]byte, wire.MaxLeaseFrame+1))
	_, err = wire.ReadFrame(bufio.NewReader(bytes.NewReader(tooLarge)))
	g.Expect(err).To(MatchError(wire.ErrMalformedLeaseMessage))
}
