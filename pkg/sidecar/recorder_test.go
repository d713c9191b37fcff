package sidecar

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// Guards against failed requests that no log line explains. That happened when the refusals in an overload used up the
// budget of the lines about the ends of requests, and when an error response of an upstream counted as a success.
func TestRefusalLinesDoNotUseBudgetOfEndLines(t *testing.T) {
	g := NewWithT(t)
	logs := &syncBuffer{}
	log := logrus.New()
	log.SetOutput(logs)
	log.SetFormatter(&logrus.JSONFormatter{})
	r := newRecorder(clock.System(), log)
	metadata := &requestMetadata{upstream: "u", route: "r"}
	for range 1000 {
		r.recordUnanswered("refused", metadata, attemptResult{outcome: outcomeNotRun, reason: ReasonOverloaded})
	}
	ended := func(id string, asked, status int) {
		r.recordEnd(&call{id: id, nodesAsked: asked, view: &mesh.View{}}, result{}, status)
	}
	for range 1000 {
		ended("plain", 1, fasthttp.StatusOK)
	}
	ended("failed", 1, fasthttp.StatusInternalServerError)
	g.Expect(logs.String()).To(ContainSubstring(`"request":"failed"`))
	// The number of lines stays within the budget of two seconds, because a new second may begin during the test.
	g.Expect(strings.Count(logs.String(), "\n")).To(BeNumerically("<=", 2*(20+150+50)+2))
}
