package load

import (
	"fmt"
	"sort"

	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// maxViolations bounds how many violations a report describes.
const maxViolations = 20

func (r *Report) violation(format string, arguments ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, arguments...))
	}
}

// recordIndex finds the upstreams' records of a call.
type recordIndex struct {
	byToken    map[string][]*upstream.CallRecord
	byIdentity map[string][]*upstream.CallRecord
}

func indexRecords(records []upstream.CallRecord) *recordIndex {
	index := &recordIndex{
		byToken:    map[string][]*upstream.CallRecord{},
		byIdentity: map[string][]*upstream.CallRecord{},
	}
	for i := range records {
		r := &records[i]
		index.byToken[r.Token] = append(index.byToken[r.Token], r)
		if r.Identity != "" {
			index.byIdentity[r.Identity] = append(index.byIdentity[r.Identity], r)
		}
	}
	return index
}

// served is the record of the token's call that an upstream served, or nil.
func (x *recordIndex) served(token string) *upstream.CallRecord {
	for _, r := range x.byToken[token] {
		if r.Outcome == upstream.OutcomeServed {
			return r
		}
	}
	return nil
}

// ran reports whether an upstream began the token's call.
func (x *recordIndex) ran(token string) bool {
	for _, r := range x.byToken[token] {
		if r.Ran() {
			return true
		}
	}
	return false
}

func (x *recordIndex) identityServed(identity string) bool {
	for _, r := range x.byIdentity[identity] {
		if r.Outcome == upstream.OutcomeServed {
			return true
		}
	}
	return false
}

// countAnswers compares what callers were told with what upstreams ran.
func (r *Report) countAnswers(results []CallResult, index *recordIndex) {
	for i := range results {
		result := &results[i]
		for j := range result.Attempts {
			r.countAnswer(&result.Attempts[j], index)
		}
		identity := result.Call.Identity
		if identity != "" && result.LastAttempt().Kind == KindServed && !index.identityServed(identity) {
			r.Lost++
			r.violation("lost: %s was told that it is served; no upstream served it", identity)
		}
	}
	r.countDoubled(index)
}

func (r *Report) countAnswer(a *Attempt, index *recordIndex) {
	switch a.Defect {
	case DefectTruncated, DefectMismatched:
		r.Mismatched++
		r.violation("%s answer: %s at %s got that of %q", a.Defect, a.Token, a.Node, a.EchoedToken)
	case DefectMissing:
		r.Lost++
		r.violation("lost: %s at %s was served without an answer", a.Token, a.Node)
	case NoDefect:
	}
	if a.Ran == RanNo && index.ran(a.Token) {
		r.RanButReportedNotRun++
		r.violation("%s at %s was told %s and not run, but %s ran it",
			a.Token, a.Node, a.Kind, index.byToken[a.Token][0].Upstream)
	}
}

func (r *Report) countDoubled(index *recordIndex) {
	identities := make([]string, 0, len(index.byIdentity))
	for identity := range index.byIdentity {
		identities = append(identities, identity)
	}
	sort.Strings(identities)
	for _, identity := range identities {
		var runs []string
		for _, record := range index.byIdentity[identity] {
			if record.Ran() {
				runs = append(runs, fmt.Sprintf("%s (%s, %s)", record.Upstream, record.Token, record.Outcome))
			}
		}
		if len(runs) > 1 {
			r.Duplicated++
			r.violation("doubled: %s ran at %v", identity, runs)
		}
	}
}

// countRecords counts what upstreams saw that must not be.
func (r *Report) countRecords(e ReportInput) {
	for i := range e.Records {
		record := &e.Records[i]
		if record.KeySeen {
			r.KeyLeaks++
			r.violation("key seen: %s at %s", record.Token, record.Upstream)
		}
		if record.BodyCorrupted || record.OnwardAnswerWrong {
			r.Mismatched++
			r.violation("wrong body or onward answer: %s at %s", record.Token, record.Upstream)
		}
		if record.AboveLimit {
			r.AboveLimit++
		}
	}
}
