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

// CallRecord guards a controller's ledger of what it ran and the history of the sets whose candidates count.
type CallRecord struct {
	mu      sync.Mutex
	ledger  *delivery.Ledger
	history *delivery.CandidateHistory
	adopted *snapshot.Snapshot
}

// NewCallRecord returns an empty record. The epoch ID must be random and new for each process.
func NewCallRecord(cfg delivery.Config, start time.Duration, epochID string) *CallRecord {
	return &CallRecord{ledger: delivery.NewLedger(cfg, start, epochID), history: delivery.NewCandidateHistory(cfg)}
}

// AdoptSnapshot notes that a snapshot is in force from now on; a new list of VMs alone changes nothing.
func (r *CallRecord) AdoptSnapshot(now time.Duration, snap *snapshot.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.adopted != nil && r.adopted.Set == snap.Set {
		return
	}
	// Other nodes may have used candidates of a version that this node never had.
	if r.adopted != nil && snap.ParentDigest != r.adopted.Version.Digest {
		r.history.RecordSkippedSet(now)
	}
	r.adopted = snap
	r.history.Adopt(now, snap.Set)
}

// Epoch returns the fencing token for senders, or "" while none is issued.
func (r *CallRecord) Epoch(now time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Epoch(now)
}

// Candidates returns the upstreams at which an identity may run, the home first.
func (r *CallRecord) Candidates(now time.Duration, service, identity string) []*config.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Candidates(now, service, identity)
}

// BarIdentity refuses an identity from now on unless it was accepted.
func (r *CallRecord) BarIdentity(now time.Duration, identity string) wire.BarIdentityResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Bar(now, identity)
}

// IdentityCount returns the number of identities on record.
func (r *CallRecord) IdentityCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Len()
}

func (r *CallRecord) accept(now time.Duration, q delivery.Request) delivery.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Accept(now, q)
}

func (r *CallRecord) finish(now time.Duration, q delivery.Request, result delivery.Result) {
	if q.Idempotent {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Finish(now, q.Identity, result)
}

func (r *CallRecord) release(now time.Duration, q delivery.Request, kind wire.ErrorKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Release(now, q, kind)
}

// refuse remembers a call that is refused before the ledger saw it, so that a late copy is refused as well.
func (r *CallRecord) refuse(now time.Duration, call string, kind wire.ErrorKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.RefuseCall(now, call, kind)
}

// complete reports whether others covers every set that matters.
func (r *CallRecord) complete(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.IsComplete(now)
}

// eligible reports whether self is a candidate of the identity by a set on which the other controllers agree.
func (r *CallRecord) eligible(now time.Duration, service, identity, self string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Eligible(now, service, identity, self)
}

func (r *CallRecord) others(now time.Duration, service, identity, self string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.OtherCandidates(now, service, identity, self)
}

// digest identifies the content of a request, so that one identity is not used for two requests.
func digest(req *fasthttp.Request) uint64 {
	h := xxhash.New()
	_, _ = h.Write(req.Header.Method())
	_, _ = h.WriteString("\x00")
	_, _ = h.Write(req.Header.RequestURI())
	_, _ = h.WriteString("\x00")
	_, _ = h.Write(req.Body())
	return h.Sum64()
}
