package upstream

import "time"

// Outcome is how a call ended at the upstream.
type Outcome string

// Endings of a call. All but Shed mean that the call's work began.
const (
	// OutcomeServed means that the whole work was done and answered.
	OutcomeServed Outcome = "served"
	// OutcomeShed means that the call was refused before any work.
	OutcomeShed Outcome = "shed"
	// OutcomeCancelled means that the connection closed during the work.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeDeadlineExceeded means that the call's deadline passed during the work.
	OutcomeDeadlineExceeded Outcome = "expired"
	// OutcomeOnwardCallFailed means that an onward call did not succeed.
	OutcomeOnwardCallFailed Outcome = "chain_failed"
	// OutcomeRunning means that the call has not ended yet.
	OutcomeRunning Outcome = "running"
)

// CallRecord is one call as the upstream saw it.
type CallRecord struct {
	Upstream   string `json:"upstream"`
	DataCentre string `json:"data_centre"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	// CallID is the node's call identity, Token and Identity are the test caller's.
	CallID   string    `json:"call"`
	Token    string    `json:"token"`
	Identity string    `json:"identity,omitempty"`
	Team     string    `json:"team"`
	Depth    int       `json:"depth"`
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	Outcome  Outcome   `json:"ending"`
	// KeySeen is set when a key, or an Authorization header, was in the request.
	KeySeen bool `json:"key_seen,omitempty"`
	// BodyCorrupted is set when the body is not the one that the caller sent.
	BodyCorrupted bool `json:"body_wrong,omitempty"`
	// OnwardAnswerWrong is set when an onward call got an answer that is not its own.
	OnwardAnswerWrong bool `json:"answer_wrong,omitempty"`
	// AboveLimit is set when the call came while the upstream already had as many as it bears.
	AboveLimit bool `json:"above_limit,omitempty"`
}

// Ran reports whether the call's work began.
func (r *CallRecord) Ran() bool { return r.Outcome != OutcomeShed }

// Records returns a copy of all that the upstream was asked, in order of arrival.
func (s *Server) Records() []CallRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]CallRecord, len(s.records))
	for i, r := range s.records {
		out[i] = *r
	}
	return out
}

// LastRecord returns a copy of the record of the call that arrived last, or the zero value.
func (s *Server) LastRecord() CallRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) == 0 {
		return CallRecord{}
	}
	return *s.records[len(s.records)-1]
}

func (s *Server) finish(r *CallRecord, ending Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.End = s.now()
	r.Outcome = ending
}
