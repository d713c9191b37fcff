package peer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// CallRecord holds a controller's ledger of the calls that it ran, and the history of the upstreams at which an
// identity may have run. It is safe for concurrent use.
type CallRecord struct {
	mu      sync.Mutex
	ledger  *delivery.Ledger
	history *delivery.CandidateHistory
	adopted *snapshot.Snapshot
}

// NewCallRecord returns an empty record. The epoch ID must be random and differ for each process.
func NewCallRecord(cfg delivery.Config, start time.Duration, epochID string) *CallRecord {
	return &CallRecord{ledger: delivery.NewLedger(cfg, start, epochID), history: delivery.NewCandidateHistory(cfg)}
}

// AdoptSnapshot records that a snapshot is in force from now on. A snapshot that differs only in its members changes
// nothing.
func (r *CallRecord) AdoptSnapshot(now time.Duration, snap *snapshot.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.adopted != nil && r.adopted.Set == snap.Set {
		return
	}
	// Other nodes may have chosen candidates by a version that this node never adopted.
	if r.adopted != nil && snap.ParentDigest != r.adopted.Version.Digest {
		r.history.RecordSkippedSet(now)
	}
	r.adopted = snap
	r.history.Adopt(now, snap.Set)
}

// Epoch returns the fencing token that senders must present with calls that may run only once, or "" while none is
// issued.
func (r *CallRecord) Epoch(now time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Epoch(now)
}

// Candidates returns the upstreams at which an identity may run. The first one is the identity's home, which is
// preferred.
func (r *CallRecord) Candidates(now time.Duration, service, identity string) []*config.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Candidates(now, service, identity)
}

// BarIdentity makes the controller refuse calls with the identity from now on, unless it has already accepted one.
func (r *CallRecord) BarIdentity(now time.Duration, identity string) wire.BarIdentityResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Bar(now, identity)
}

// IdentityCount returns the number of identities in the ledger.
func (r *CallRecord) IdentityCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Len()
}

// accept decides whether a call may run, and if so records it as running.
func (r *CallRecord) accept(now time.Duration, request delivery.Request) delivery.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Accept(now, request)
}

// finish records the result of a call that may run only once.
func (r *CallRecord) finish(now time.Duration, request delivery.Request, result delivery.Result) {
	if request.Idempotent {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Finish(now, request.Identity, result)
}

// release records that an accepted call did not run because of an error of the given kind.
func (r *CallRecord) release(now time.Duration, request delivery.Request, kind wire.ErrorKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Release(now, request, kind)
}

// refuseCall records a call that is refused before it was accepted, so that a late copy of it is refused as well.
func (r *CallRecord) refuseCall(now time.Duration, callID string, kind wire.ErrorKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.RefuseCall(now, callID, kind)
}

// candidatesComplete reports whether otherCandidates covers every set by which another node may have chosen a
// candidate.
func (r *CallRecord) candidatesComplete(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.IsComplete(now)
}

// isCandidate reports whether self is a candidate of the identity according to a set that has been in force long enough
// for the other controllers to have it too.
func (r *CallRecord) isCandidate(now time.Duration, service, identity, self string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Eligible(now, service, identity, self)
}

// otherCandidates returns the upstreams other than self at which the identity may have run.
func (r *CallRecord) otherCandidates(now time.Duration, service, identity, self string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.OtherCandidates(now, service, identity, self)
}

// requestDigest returns a hash of the request's method, URI and body, by which an identity that is used for two
// different requests is detected.
func requestDigest(req *fasthttp.Request) uint64 {
	h := xxhash.New()
	_, _ = h.Write(req.Header.Method())
	_, _ = h.WriteString("\x00")
	_, _ = h.Write(req.Header.RequestURI())
	_, _ = h.WriteString("\x00")
	_, _ = h.Write(req.Body())
	return h.Sum64()
}
