package platform_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	api "github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/standin/platform"
)

// startServer starts a server whose clock changes only when the test advances it. It returns the base URL and the clock
// in nanoseconds.
func startServer(t *testing.T, reads int) (s *platform.Server, base string, clock *atomic.Int64) {
	t.Helper()
	clock = &atomic.Int64{}
	clock.Store(time.Hour.Nanoseconds())
	s = platform.New(platform.Options{
		ReadsPerSecond: reads,
		Now:            func() time.Time { return time.Unix(0, clock.Load()) },
	})
	address, _, err := s.Listen("127.0.0.1:0", "")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	return s, "http://" + address, clock
}

// get sends a GET request without retries and returns the response with its revision header.
func get(t *testing.T, url string) (status int, body string, revision string) {
	t.Helper()
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: 10 * time.Second}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	NewWithT(t).Expect(client.Do(request, response)).To(Succeed())
	return response.StatusCode(), string(response.Body()), string(response.Header.Peek(platform.RevisionHeader))
}

// Guards against a read limit that admits too many reads in any window of one second, for example in a window that
// covers parts of two seconds of the clock, or that refuses reads within the limit.
func TestReadLimit(t *testing.T) {
	g := NewWithT(t)
	s, base, clock := startServer(t, 20)
	read := func(n int) (admitted int) {
		for range n {
			if status, _, _ := get(t, base+"/v1/members"); status == http.StatusOK {
				admitted++
			}
		}
		return admitted
	}
	g.Expect(read(15)).To(Equal(15))
	clock.Add((900 * time.Millisecond).Nanoseconds())
	g.Expect(read(15)).To(Equal(5))
	clock.Add((100 * time.Millisecond).Nanoseconds())
	g.Expect(read(30)).To(Equal(15))
	clock.Add(time.Second.Nanoseconds())
	g.Expect(read(30)).To(Equal(20))
	counters := s.CountersByIP()["127.0.0.1"]
	g.Expect(counters.Reads).To(BeEquivalentTo(55))
	g.Expect(counters.RefusedReads).To(BeEquivalentTo(35))
	g.Expect(counters.BytesIn).To(BeNumerically(">", 0))
	g.Expect(counters.BytesOut).To(BeNumerically(">", 0))
}

// Guards against a watch request that counts as several reads while it waits, or that does not return on a publication.
func TestWatchCountsAsOneReadAndReturnsOnChange(t *testing.T) {
	g := NewWithT(t)
	s, base, _ := startServer(t, 100)
	_, err := s.Publish([]byte("one"), nil)
	g.Expect(err).NotTo(HaveOccurred())
	status, body, revision := get(t, base+"/v1/config/manifest?after=1&wait_ms=1")
	g.Expect([]any{status, body, revision}).To(Equal([]any{http.StatusNotModified, "", ""}))
	done := make(chan string)
	go func() {
		_, body, revision := get(t, base+"/v1/config/manifest?after=1&wait_ms=9000")
		done <- body + " " + revision
	}()
	g.Eventually(func() uint64 { return s.CountersByIP()["127.0.0.1"].Reads }).Should(BeEquivalentTo(2))
	_, err = s.Publish([]byte("two"), map[string][]byte{"d": []byte("value")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(done).Should(Receive(Equal("two 2")))
	g.Expect(s.CountersByIP()["127.0.0.1"].Reads).To(BeEquivalentTo(2))
	_, body, _ = get(t, base+"/v1/config/values/d")
	g.Expect(body).To(Equal("value"))
}

// Guards against faults that a client does not see as described, or whose effect remains after the fault ends.
func TestFaultsApplyAndEnd(t *testing.T) {
	g := NewWithT(t)
	s, base, _ := startServer(t, 100)
	for _, manifest := range []string{"one", "two"} {
		_, err := s.Publish([]byte(manifest), nil)
		g.Expect(err).NotTo(HaveOccurred())
	}
	manifest := base + "/v1/config/manifest"
	s.SetFault(platform.Fault{Kind: platform.FaultDown})
	status, _, _ := get(t, manifest)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	s.SetFault(platform.Fault{Kind: platform.FaultStale})
	_, body, revision := get(t, manifest)
	g.Expect(body + revision).To(Equal("one1"))
	s.SetFault(platform.Fault{Kind: platform.FaultFrozen})
	failed := make(chan error)
	go func() {
		_, _, err := (&fasthttp.Client{MaxIdemponentCallAttempts: 1}).Get(nil, manifest)
		failed <- err
	}()
	g.Eventually(func() uint64 { return s.CountersByIP()["127.0.0.1"].Reads }).Should(BeEquivalentTo(3))
	g.Consistently(failed, "100ms").ShouldNot(Receive())
	s.SetFault(platform.Fault{})
	g.Eventually(failed).Should(Receive(HaveOccurred()))
	_, body, revision = get(t, manifest)
	g.Expect(body + revision).To(Equal("two2"))
}

// Guards against a delayed update of the member list that replaces a newer one.
func TestDelayedMemberListDoesNotReplaceNewerOne(t *testing.T) {
	g := NewWithT(t)
	s, base, _ := startServer(t, 100)
	list := func() (out api.MemberList) {
		_, body, _ := get(t, base+"/v1/members")
		g.Expect(json.Unmarshal([]byte(body), &out)).To(Succeed())
		return out
	}
	g.Expect(list()).To(Equal(api.MemberList{Revision: 1, Members: []api.Member{}}))
	s.SetFault(platform.Fault{MemberListDelayMS: 50})
	s.SetMembers([]api.Member{{VM: "older"}})
	s.SetFault(platform.Fault{})
	s.SetMembers([]api.Member{{VM: "newer", State: api.MemberLive}})
	g.Expect(list().Members[0].VM).To(Equal("newer"))
	g.Consistently(func() string { return list().Members[0].VM }, "150ms").Should(Equal("newer"))
}

// Guards against a control port that does not carry out the requests of a test driver in another process.
func TestControlPortRequests(t *testing.T) {
	g := NewWithT(t)
	s := platform.New(platform.Options{})
	address, controlAddress, err := s.Listen("127.0.0.1:0", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = s.Close() }()
	send := func(method, path, body string) int {
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", controlAddress, path), strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	g.Expect(send("PUT", platform.PathMembers, `[{"vm":"vm-1","state":"leaving"}]`)).To(Equal(http.StatusOK))
	_, body, _ := get(t, "http://"+address+"/v1/members")
	g.Expect(body).To(ContainSubstring(`"vm-1"`))
	g.Expect(send("PUT", platform.PathFault, `{"kind":"no such fault"}`)).To(Equal(http.StatusBadRequest))
	g.Expect(send("POST", platform.PathPublish, `{"directory":"/nowhere"}`)).To(Equal(http.StatusBadRequest))
	g.Expect(send("GET", platform.PathCounters, "")).To(Equal(http.StatusOK))
}
