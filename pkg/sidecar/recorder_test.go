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

// The refusals of an overload used up the lines of the requests themselves, and a failure that an upstream had answered
// counted as a plain success: the bench named failed requests that no log explained.
func TestRefusalsLeaveRoomForTheEndsOfRequests(t *testing.T) {
	g := NewWithT(t)
	logs := &syncBuffer{}
	log := logrus.New()
	log.SetOutput(logs)
	log.SetFormatter(&logrus.JSONFormatter{})
	r := newRecorder(clock.System(), log)
	h := &hop{upstream: "u", route: "r"}
	for range 1000 {
		r.decided("refused", h, answer{outcome: notRun, reason: ReasonOverloaded})
	}
	ended := func(id string, asked, status int) {
		r.ended(&call{id: id, asked: asked, view: &mesh.View{}}, result{}, status)
	}
	for range 1000 {
		ended("plain", 1, fasthttp.StatusOK)
	}
	ended("failed", 1, fasthttp.StatusInternalServerError)
	g.Expect(logs.String()).To(ContainSubstring(`"request":"failed"`))
	// The volume stays bounded; a second may have begun in between.
	g.Expect(strings.Count(logs.String(), "\n")).To(BeNumerically("<=", 2*(20+150+50)+2))
}
