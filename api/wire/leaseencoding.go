package wire

import (
	"encoding/binary"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

// LeaseStreamProtocol is the value of the Upgrade header with which a borrower asks for a lease stream on
// PathQuotaStream. After the status 101 the connection carries frames: each LeaseRequest is answered by one LeaseResponse.
//
// As JSON over HTTP these messages took more bytes than a node may use for control in a mesh of 470 nodes, most of them
// headers and field names.
const LeaseStreamProtocol = "bamboodeal-lease"

// MaxLeaseFrame is the largest payload of a frame in bytes.
const MaxLeaseFrame = 64 << 10

// ErrMalformedLeaseMessage means that bytes are not a message of a lease stream.
var ErrMalformedLeaseMessage = eris.New("the bytes are not a lease message; run the same release on all nodes")

// AppendBinary appends the message in the encoding of lease streams: each list is preceded by its length, and all numbers
// are unsigned varints.
func (r LeaseRequest) AppendBinary(b []byte) ([]byte, error) {
	b = binary.AppendUvarint(b, uint64(len(r.Settlements)))
	for _, s := range r.Settlements {
		b = appendCounts(binary.AppendUvarint(b, s.Lease), int64(s.Used))
	}
	b = binary.AppendUvarint(b, uint64(len(r.TokenRequests)))
	for _, t := range r.TokenRequests {
		b = append(binary.AppendUvarint(b, uint64(len(t.Team))), t.Team...)
		b = appendCounts(b, int64(t.Tokens), t.LeaseDurationMS)
	}
	return b, nil
}

// UnmarshalBinary decodes what AppendBinary appended. It returns ErrMalformedLeaseMessage for all other bytes.
func (r *LeaseRequest) UnmarshalBinary(b []byte) error {
	d := leaseDecoder{rest: b}
	*r = LeaseRequest{}
	for range d.listLength() {
		r.Settlements = append(r.Settlements, Settlement{Lease: d.uvarint(), Used: int(d.count())})
	}
	for range d.listLength() {
		r.TokenRequests = append(r.TokenRequests, TokenRequest{Team: d.text(), Tokens: int(d.count()), LeaseDurationMS: d.count()})
	}
	return d.end()
}

// AppendBinary appends the message in the encoding of lease streams.
func (r LeaseResponse) AppendBinary(b []byte) ([]byte, error) {
	b = binary.AppendUvarint(b, uint64(len(r.Grants)))
	for _, g := range r.Grants {
		b = appendCounts(binary.AppendUvarint(b, g.Lease), int64(g.Tokens), g.RetryMS)
	}
	return b, nil
}

// UnmarshalBinary decodes what AppendBinary appended. It returns ErrMalformedLeaseMessage for all other bytes.
func (r *LeaseResponse) UnmarshalBinary(b []byte) error {
	d := leaseDecoder{rest: b}
	*r = LeaseResponse{}
	for range d.listLength() {
		r.Grants = append(r.Grants, Grant{Lease: d.uvarint(), Tokens: int(d.count()), RetryMS: d.count()})
	}
	return d.end()
}

// appendCounts appends numbers that are not negative. A negative one is a fault of the sender and is sent as 0, which
// requests, spends or grants nothing.
func appendCounts(b []byte, counts ...int64) []byte {
	for _, n := range counts {
		b = binary.AppendUvarint(b, uint64(max(n, 0)))
	}
	return b
}

// AppendFrame appends a frame: the length of the payload as an unsigned varint, and the payload. A frame without payload
// is a holder's refusal to answer.
func AppendFrame(b, payload []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(payload))), payload...)
}

// FrameReader is the source of ReadFrame; bufio.Reader is one.
type FrameReader interface {
	io.Reader
	io.ByteReader
}

// ReadFrame reads one frame and returns its payload. It returns io.EOF if the stream ends before the frame begins, and
// ErrMalformedLeaseMessage for a payload above MaxLeaseFrame.
func ReadFrame(r FrameReader) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > MaxLeaseFrame {
		return nil, ErrMalformedLeaseMessage
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, eris.Wrap(err, "the lease stream ended within a message")
	}
	return payload, nil
}

// leaseDecoder reads numbers and texts from the front of a message. After the first fault it returns zero values, and end
// returns the fault.
type leaseDecoder struct {
	rest   []byte
	failed bool
}

func (d *leaseDecoder) uvarint() uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.rest, d.failed = nil, true
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

// count reads a number that fits an int on every platform.
func (d *leaseDecoder) count() int64 {
	n := d.uvarint()
	if n > math.MaxInt32 {
		d.rest, d.failed = nil, true
		return 0
	}
	return int64(n)
}

// listLength reads the length of a list. Each element has at least one byte, so a greater length is a fault; without this
// check a few bytes could make the reader allocate any number of elements.
func (d *leaseDecoder) listLength() int {
	n := d.uvarint()
	if n > uint64(len(d.rest)) {
		d.rest, d.failed = nil, true
		return 0
	}
	return int(n)
}

func (d *leaseDecoder) text() string {
	n := d.listLength()
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}

func (d *leaseDecoder) end() error {
	if d.failed || len(d.rest) > 0 {
		return ErrMalformedLeaseMessage
	}
	return nil
}
