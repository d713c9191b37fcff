package version_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/version"
)

func id(number int, digest string) wire.VersionID {
	return wire.VersionID{Number: uint64(number), Digest: digest}
}

func adopted(actions []version.Action) (found []wire.VersionID) {
	for _, a := range actions {
		if a, ok := a.(version.AdoptSet); ok {
			found = append(found, a.Version)
		}
	}
	return found
}

func drawEvent(t *rapid.T) version.Event {
	v := id(rapid.IntRange(1, 6).Draw(t, "number"), strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "digest")))
	v.Digest = strconv.FormatUint(v.Number, 10) + v.Digest
	from := rapid.SampledFrom([]string{version.Source, "a", "b", "c"}).Draw(t, "from")
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return version.OfferReceived{Version: v, From: from}
	case 1:
		return version.SetVerified{Version: v}
	case 2:
		return version.SetRejected{Version: v}
	case 3:
		return version.FetchFailed{Version: v, From: from}
	case 4:
		return version.PeerCounts{Local: rapid.IntRange(0, 3).Draw(t, "local")}
	case 5:
		return version.AnswerReceived{From: from, Local: from != version.Source}
	default:
		return version.Tick{}
	}
}

// In any order of events, each adopted version is greater than the one before, was verified before, is not below the
// floor and was not rejected.
func TestAdoptedVersionsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		floor := uint64(rapid.IntRange(0, 4).Draw(t, "floor"))
		m := version.NewStateMachine(version.Options{Floor: floor})
		verified, rejected := map[wire.VersionID]bool{}, map[string]bool{}
		last, now := wire.VersionID{}, time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			e := drawEvent(t)
			if v, ok := e.(version.SetVerified); ok && !rejected[v.Version.Digest] {
				verified[v.Version] = true
			}
			if r, ok := e.(version.SetRejected); ok && !verified[r.Version] {
				rejected[r.Version.Digest] = true
			} else if ok {
				continue // A set is either valid or invalid.
			}
			for _, v := range adopted(m.Step(now, e)) {
				g.Expect(last.Less(v)).To(BeTrue())
				g.Expect(verified).To(HaveKey(v))
				g.Expect(v.Number).To(BeNumerically(">=", floor))
				g.Expect(rejected).NotTo(HaveKey(v.Digest))
				last = v
			}
			g.Expect(m.Current()).To(Equal(last))
		}
	})
}

// If two manifests have the same version number, every node adopts the one with the greater digest, whichever arrives
// first, and reports the conflict.
func TestGreaterDigestWinsConflict(t *testing.T) {
	for _, order := range [][]string{{"a", "b"}, {"b", "a"}} {
		g := NewWithT(t)
		m := version.NewStateMachine(version.Options{SkipStartPhase: true})
		for _, digest := range order {
			m.Step(time.Second, version.SetVerified{Version: id(7, digest)})
		}
		g.Expect(m.Current()).To(Equal(id(7, "b")))
		g.Expect(m.Conflict()).NotTo(BeNil())
		g.Expect(m.Conflict().Winner).To(Equal(id(7, "b")))
		g.Expect(m.Conflict().String()).To(ContainSubstring("publish a higher version"))
		m.Step(time.Second, version.SetVerified{Version: id(8, "a")})
		g.Expect(m.Conflict()).To(BeNil())
	}
}

// A restarted node must not go back to an older version because a source that is out of date answers first.
func TestStartPhaseWaitsForPeers(t *testing.T) {
	g := NewWithT(t)
	m := version.NewStateMachine(version.Options{})
	m.Step(time.Second, version.PeerCounts{Local: 4, Remote: 3})
	m.Step(time.Second, version.OfferReceived{Version: id(3, "a"), From: version.Source})
	m.Step(time.Second, version.AnswerReceived{From: version.Source})
	g.Expect(adopted(m.Step(time.Second, version.SetVerified{Version: id(3, "a")}))).To(BeEmpty())
	m.Step(time.Second, version.OfferReceived{Version: id(9, "a"), From: "p1"})
	for _, peer := range []string{"p1", "p2"} {
		m.Step(time.Second, version.AnswerReceived{From: peer, Local: true})
	}
	g.Expect(m.Started()).To(BeFalse(), "no node of another data centre has answered")
	for _, peer := range []string{"r1", "r2"} {
		m.Step(time.Second, version.AnswerReceived{From: peer})
	}
	g.Expect(m.Started()).To(BeTrue())
	g.Expect(m.Current().IsZero()).To(BeTrue(), "a greater version is offered and not yet fetched")
	g.Expect(adopted(m.Step(2*time.Second, version.SetVerified{Version: id(9, "a")}))).To(Equal([]wire.VersionID{id(9, "a")}))
}

// A version whose only holder failed must not keep a node from starting.
func TestVersionThatNoHolderDeliversIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	m := version.NewStateMachine(version.Options{})
	m.Step(time.Second, version.OfferReceived{Version: id(9, "a"), From: "p1"})
	m.Step(time.Second, version.AnswerReceived{From: "p1", Local: true})
	m.Step(time.Second, version.FetchFailed{Version: id(9, "a"), From: "p1"})
	m.Step(5*time.Second, version.SetVerified{Version: id(8, "a")})
	g.Expect(m.Ready()).To(BeFalse())
	g.Expect(adopted(m.Step(12*time.Second, version.Tick{}))).To(Equal([]wire.VersionID{id(8, "a")}))
}
