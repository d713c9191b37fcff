package load

import (
	"fmt"
	"sort"

	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// maxViolations is the largest number of violations that a report describes.
const maxViolations = 20

func (r *Report) addViolation(format string, arguments ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, arguments...))
	}
}

// recordIndex finds the records of the upstreams by the token of an attempt or the identity of a call.
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

// servedRecord returns the record of the attempt with this token that an upstream served, or nil.
func (x *recordIndex) servedRecord(token string) *upstream.CallRecord {
	for _, r := range x.byToken[token] {
		if r.Outcome == upstream.OutcomeServed {
			return r
		}
	}
	return nil
}

// ran reports whether an upstream started to run the attempt with this token.
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

// countResultViolations compares the outcomes that callers got with the calls that upstreams ran.
func (r *Report) countResultViolations(results []CallResult, index *recordIndex) {
	for i := range results {
		result := &results[i]
		for j := range result.Attempts {
			r.countAttemptViolations(&result.Attempts[j], index)
		}
		identity := result.Call.Identity
		if identity != "" && result.LastAttempt().Kind == KindServed && !index.identityServed(identity) {
			r.Lost++
			r.addViolation("lost: %s was told that it is served; no upstream served it", identity)
		}
	}
	r.countDuplicateRuns(index)
}

func (r *Report) countAttemptViolations(a *Attempt, index *recordIndex) {
	switch a.Defect {
	case DefectTruncated, DefectMismatched:
		r.Mismatched++
		r.addViolation("%s answer: %s at %s got that of %q", a.Defect, a.Token, a.Node, a.EchoedToken)
	case DefectMissing:
		r.Lost++
		r.addViolation("lost: %s at %s was served without an answer", a.Token, a.Node)
	case NoDefect:
	}
	if a.Ran == RanNo && index.ran(a.Token) {
		r.RanButReportedNotRun++
		r.addViolation("%s at %s was told %s and not run, but %s ran it",
			a.Token, a.Node, a.Kind, index.byToken[a.Token][0].Upstream)
	}
}

func (r *Report) countDuplicateRuns(index *recordIndex) {
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
			r.addViolation("doubled: %s ran at %v", identity, runs)
		}
	}
}

// countRecordViolations counts leaked keys, wrong bodies and calls above the limit in the records of the upstreams.
func (r *Report) countRecordViolations(in ReportInput) {
	for i := range in.Records {
		record := &in.Records[i]
		if record.KeySeen {
			r.KeyLeaks++
			r.addViolation("key seen: %s at %s", record.Token, record.Upstream)
		}
		if record.BodyCorrupted || record.OnwardAnswerWrong {
			r.Mismatched++
			r.addViolation("wrong body or onward answer: %s at %s", record.Token, record.Upstream)
		}
		if record.AboveLimit {
			r.AboveLimit++
		}
	}
}
