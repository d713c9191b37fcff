package upstream

import "time"

// Outcome is the result of a call at the upstream.
type Outcome string

// Outcomes of a call. All except OutcomeShed mean that the work on the call began.
const (
	// OutcomeServed means that the work was completed and the answer was about to be sent.
	OutcomeServed Outcome = "served"
	// OutcomeShed means that the call was refused before any work.
	OutcomeShed Outcome = "shed"
	// OutcomeCancelled means that the caller closed the connection during the work.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeDeadlineExceeded means that the call's deadline passed during the work.
	OutcomeDeadlineExceeded Outcome = "expired"
	// OutcomeOnwardCallFailed means that the onward call failed.
	OutcomeOnwardCallFailed Outcome = "chain_failed"
	// OutcomeRunning means that the call is still being worked on.
	OutcomeRunning Outcome = "running"
)

// CallRecord describes one call as the upstream saw it.
type CallRecord struct {
	Upstream   string `json:"upstream"`
	DataCentre string `json:"data_centre"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	// CallID is the ID that the node gave to the call. Token and Identity are the values of HeaderToken and
	// HeaderIdentity.
	CallID   string    `json:"call"`
	Token    string    `json:"token"`
	Identity string    `json:"identity,omitempty"`
	Team     string    `json:"team"`
	Depth    int       `json:"depth"`
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	Outcome  Outcome   `json:"ending"`
	// KeySeen is set if the request contained a forbidden key or an Authorization header.
	KeySeen bool `json:"key_seen,omitempty"`
	// BodyCorrupted is set if the body of the request does not match HeaderBodyDigest.
	BodyCorrupted bool `json:"body_wrong,omitempty"`
	// OnwardAnswerWrong is set if the body of the answer to the onward call is not the one for the token of that call.
	OnwardAnswerWrong bool `json:"answer_wrong,omitempty"`
	// AboveLimit is set if the call came when the upstream already had as many calls as it could handle.
	AboveLimit bool `json:"above_limit,omitempty"`
}

// Ran reports whether the work on the call began.
func (r *CallRecord) Ran() bool { return r.Outcome != OutcomeShed }

// Records returns a copy of the records of all calls, including the refused ones, in order of arrival.
func (s *Server) Records() []CallRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]CallRecord, len(s.records))
	for i, r := range s.records {
		records[i] = *r
	}
	return records
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

// recordOutcome sets the end and the outcome of a call.
func (s *Server) recordOutcome(r *CallRecord, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.End = s.now()
	r.Outcome = outcome
}
