package invariants

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/membership"
)

// Time limits of the invariants in section 1.1 of docs/design.md: from the publication of a change until a withdrawal,
// or any accepted version, is in force at all nodes.
const (
	withdrawalBound = 5 * time.Second
	adoptionBound   = 8 * time.Second
)

// Violation describes the first violation of an invariant in a run.
type Violation struct {
	// Invariant is its number in section 1.1 of docs/design.md.
	Invariant   int
	Seed        uint64
	At          time.Duration
	Description string
	// History lists the failures and publications before the violation.
	History []string
}

// String describes the violation for the report of a test.
func (v *Violation) String() string {
	return fmt.Sprintf("invariant %d, seed %d, at %v: %s", v.Invariant, v.Seed, v.At, v.Description)
}

// checker checks the invariants against the answers to callers, the calls that the fake upstreams ran and the versions
// that were in force at the nodes.
type checker struct {
	mesh           *SimulatedMesh
	firstViolation *Violation
	// The counts of checked events show whether a run checked enough.
	runs, served, notRun, adopted, admitted int

	ranCalls             map[string]bool
	runsByIdentity       map[string]int
	sentTimesOfRuns      map[string][]time.Duration
	toldNotRun           map[string]bool
	refusedAsDuplicateAt map[string]time.Duration
	bucketLevel          map[string]float64
	bucketUpdatedAt      map[string]time.Duration
	keyWithdrawnAt       map[string]time.Duration
	dataCentreOutAt      map[string]time.Duration
	vmLeavingSince       map[string]time.Duration
	invalidVersions      map[wire.VersionID]bool
}

func newChecker(mesh *SimulatedMesh) *checker {
	return &checker{
		mesh: mesh, ranCalls: map[string]bool{}, runsByIdentity: map[string]int{}, sentTimesOfRuns: map[string][]time.Duration{},
		toldNotRun: map[string]bool{}, refusedAsDuplicateAt: map[string]time.Duration{},
		bucketLevel: map[string]float64{}, bucketUpdatedAt: map[string]time.Duration{},
		keyWithdrawnAt: map[string]time.Duration{}, dataCentreOutAt: map[string]time.Duration{},
		vmLeavingSince: map[string]time.Duration{}, invalidVersions: map[wire.VersionID]bool{},
	}
}

// addViolation records a violation of an invariant if it is the first of the run.
func (c *checker) addViolation(invariant int, format string, args ...any) {
	if c.firstViolation == nil {
		c.firstViolation = &Violation{
			Invariant: invariant, Seed: c.mesh.options.Seed, At: c.mesh.Now(), Description: fmt.Sprintf(format, args...),
		}
	}
}

// mustKnow reports whether a change that was published at the time published has to be in force at the node by now,
// given the bound. docs/design.md allows these exceptions: for a data centre that did not reach the source, directly or
// through others, or whose source was down or stale, the bound counts from the end of that state; a node that reaches
// no other process has to refuse calls after membership.FreshnessLimit (4 s).
func (c *checker) mustKnow(n *node, published, bound time.Duration) bool {
	now := c.mesh.Now()
	if now <= published+bound {
		return false
	}
	if now-c.mesh.sourceReachableSince[n.DataCentre] > bound {
		return true
	}
	// An answer that was sent before the connection was lost may arrive up to 400 ms later.
	return now-n.isolatedSince > membership.FreshnessLimit+500*time.Millisecond
}

// checkAdoption checks a version that a node has put in force against invariants 1 to 3.
func (c *checker) checkAdoption(n *node, before, v wire.VersionID, set *config.Set) {
	c.adopted++
	if v.Less(before) {
		c.addViolation(1, "%s changes from version %d back to %d", n.VM, before.Number, v.Number)
	}
	if n.stops > 0 && v.Less(n.highestVersion) && c.couldReachCurrentNode(n) {
		c.addViolation(1, "%s adopts version %d after a restart although it had %d before", n.VM, v.Number, n.highestVersion.Number)
	}
	if n.highestVersion.Less(v) {
		n.highestVersion = v
	}
	for i := range set.Routes {
		if r := &set.Routes[i]; set.Service(r.Service) == nil || len(set.UpstreamsOf(r.Service)) == 0 {
			c.addViolation(2, "%s has route %q without its service or its upstreams in version %d", n.VM, r.Name, v.Number)
		}
	}
	if c.invalidVersions[v] || set != c.mesh.sets[v] {
		c.addViolation(3, "%s adopts version %d, which is invalid or not complete", n.VM, v.Number)
	}
}

// couldReachCurrentNode reports whether a restarted node has reached an up-to-date node at all times since its start.
// docs/design.md allows an exception for others: a node that reaches none, while the source is stale, cannot know the
// newer version.
func (c *checker) couldReachCurrentNode(n *node) bool {
	for _, other := range c.mesh.nodes {
		upToDate := other.Running() && other.awakeSince < n.awakeSince && other.AdoptedAt < n.awakeSince &&
			!other.Version.Less(n.highestVersion)
		connected := other.DataCentre == n.DataCentre || !c.mesh.isPartitioned(n.DataCentre, other.DataCentre) &&
			c.mesh.peersReachableSince[n.DataCentre] < n.awakeSince &&
			c.mesh.peersReachableSince[other.DataCentre] < n.awakeSince
		if upToDate && connected {
			return true
		}
	}
	return false
}

// checkInForce checks that each node has adopted the version that was published adoptionBound ago (invariant 13).
func (c *checker) checkInForce(v wire.VersionID, published time.Duration) {
	for _, n := range c.mesh.nodes {
		hadTime := n.Running() && n.awakeSince < published && c.mesh.sourceReachableSince[n.DataCentre] < published
		if hadTime && n.Version.Less(v) {
			c.addViolation(13, "%s has version %d instead of %d, which was published at %v", n.VM, n.Version.Number, v.Number, published)
		}
	}
}

// checkAdmission checks that the admitted calls of a team are within rate × t + burst in any interval t (invariant 7).
func (c *checker) checkAdmission(team *config.Team) {
	c.admitted++
	now := c.mesh.Now()
	passed := (now - c.bucketUpdatedAt[team.Name]).Seconds()
	c.bucketLevel[team.Name] = max(0, c.bucketLevel[team.Name]-passed*team.RatePerSecond) + 1
	c.bucketUpdatedAt[team.Name] = now
	if c.bucketLevel[team.Name] > float64(team.Burst)+1e-6 {
		c.addViolation(7, "admitted calls of team %s exceed its rate and burst by %.2f", team.Name,
			c.bucketLevel[team.Name]-float64(team.Burst))
	}
}

// checkRun checks a call that an upstream starts to run.
func (c *checker) checkRun(a *arrival) {
	c.runs++
	n, call := a.receiver, a.call
	if at, out := c.dataCentreOutAt[n.DataCentre]; out && c.mustKnow(n, at, withdrawalBound) {
		c.addViolation(5, "%s runs %s although its data centre has been out of service since %v; the node started or resumed at %v",
			n.VM, call.id, at, n.awakeSince)
	}
	if at, leaving := c.vmLeavingSince[n.VM]; leaving && c.mustKnow(n, at, withdrawalBound) {
		c.addViolation(11, "%s runs %s although the member list says since %v that the VM is leaving", n.VM, call.id, at)
	}
	if c.toldNotRun[call.id] {
		c.addViolation(9, "%s runs %s after its caller was told that it was not run", n.VM, call.id)
	}
	if at, told := c.refusedAsDuplicateAt[call.identity]; told && call.sentAt <= at {
		c.addViolation(9, "%s runs %s after its identity was refused as a duplicate", n.VM, call.id)
	}
	c.ranCalls[call.id] = true
	if call.identity == "" {
		return
	}
	c.runsByIdentity[call.identity]++
	c.sentTimesOfRuns[call.identity] = append(c.sentTimesOfRuns[call.identity], call.sentAt)
	if c.runsByIdentity[call.identity] > 1 {
		c.addViolation(10, "%s runs %s although its identity %s ran before", n.VM, call.id, call.identity)
	}
}

// checkEntry checks the key of a call that an entry node accepted (invariant 6).
func (c *checker) checkEntry(n *node, call *call, set *config.Set) {
	if at, withdrawn := c.keyWithdrawnAt[call.key]; withdrawn && c.mustKnow(n, at, withdrawalBound) {
		c.addViolation(6, "%s accepts key %s, which was withdrawn at %v; the node started or resumed at %v",
			n.VM, call.key, at, n.awakeSince)
	}
	if key := set.Key(call.key); key == nil || key.Team != call.team {
		c.addViolation(6, "%s accepts %s of team %s with key %s, which is not a key of the team",
			n.VM, call.id, call.team, call.key)
	}
}

// checkResponse checks an answer to a caller (invariants 8 and 9).
func (c *checker) checkResponse(call *call, outcome wire.Outcome, kind wire.ErrorKind, body string) {
	switch outcome {
	case wire.OutcomeRan:
		c.served++
		if body != call.answer() {
			c.addViolation(8, "%s got the answer of another call: %q", call.id, body)
		}
		if call.identity != "" && c.runsByIdentity[call.identity] == 0 || call.identity == "" && !c.ranCalls[call.id] {
			c.addViolation(9, "the caller of %s was told that it ran, but it did not", call.id)
		}
	case wire.OutcomeNotRun:
		c.notRun++
		c.toldNotRun[call.id] = true
		if c.ranCalls[call.id] {
			c.addViolation(9, "the caller of %s was told %s and that it was not run, but it ran", call.id, kind)
		}
		if kind == wire.KindDuplicateRequest {
			c.refusedAsDuplicateAt[call.identity] = c.mesh.Now()
			for _, sent := range c.sentTimesOfRuns[call.identity] {
				if sent <= c.mesh.Now() {
					c.addViolation(9, "the caller of %s was told that identity %s did not run, but it did", call.id, call.identity)
				}
			}
		}
	}
}

// maxExcessCalls is the number of calls that an upstream may refuse for overload after it became cold without
// warning: its controller lowers its limit with the first two refusals, and the calls in progress by then may be
// refused as well.
const maxExcessCalls = 2 * upstreamSlots

// checkLoad checks that the number of calls that an upstream runs is within its capacity (invariant 4).
func (c *checker) checkLoad(u *upstream) {
	if u.runningCalls <= u.capacity() {
		return
	}
	// docs/design.md allows an exception: the controller of an upstream that becomes cold without warning can only
	// notice this by latencies and refusals. Until then the upstream refuses the calls beyond its capacity.
	u.excessCalls++
	if !u.coldUnnoticed || u.excessCalls > maxExcessCalls {
		c.addViolation(4, "%s runs %d calls but has a capacity of %d", u.name, u.runningCalls, u.capacity())
	}
}
