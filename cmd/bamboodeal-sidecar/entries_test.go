package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/platform"
	"github.com/bamboodeal/bamboodeal/platform/platformtest"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// testVM is a loopback address with a node process, its upstream and the store.
type testVM struct {
	ip       string
	store    *platformtest.Store
	upstream *mesh.Upstream
	settings platformtest.NodeSettings
	process  *exec.Cmd
	exited   chan struct{}
	log      *lockedBuffer
}

// startVM builds the program and starts it beside an upstream that runs every request.
func startVM(t *testing.T, ip string) *testVM {
	t.Helper()
	g := NewWithT(t)
	directory := t.TempDir()
	program, file := filepath.Join(directory, "sidecar"), filepath.Join(directory, "settings.json")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
	listen := func() net.Listener {
		l, err := net.Listen("tcp4", ip+":0")
		g.Expect(err).NotTo(HaveOccurred())
		return l
	}
	v := &testVM{ip: ip, store: platformtest.NewStore(), exited: make(chan struct{}), log: &lockedBuffer{}}
	storeListener, upstreamListener := listen(), listen()
	go func() { _ = v.store.Serve(storeListener) }()
	v.upstream = &mesh.Upstream{
		ID: "i-1", Service: "orders", Address: upstreamListener.Addr().String(), IP: ip, DataCentre: "north", Slots: 4,
		StartedAtMS: time.Now().UnixMilli(), Sequence: 1,
	}
	upstream := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(platform.Headers.UpstreamID, v.upstream.ID)
		ctx.Response.Header.Set(platform.Headers.UpstreamStamp, "stamp")
		ctx.Response.Header.Set(platform.Headers.RequestID, string(ctx.Request.Header.Peek(platform.Headers.RequestID)))
		ctx.SetBodyString("done")
	}}
	go func() { _ = upstream.Serve(upstreamListener) }()
	free := make([]string, 0, 3)
	for range 3 {
		l := listen()
		free = append(free, l.Addr().String())
		defer func() { _ = l.Close() }()
	}
	v.settings = platformtest.NodeSettings{
		VM: "vm", Service: "orders", DataCentre: "north", CallerAddress: free[0], PeerAddress: free[1], ReadyAddress: free[2],
		UpstreamAddress: v.upstream.Address, StoreAddress: storeListener.Addr().String(),
		HeartbeatInterval: 1500 * time.Millisecond, StopGracePeriod: time.Second, ColdRateFactor: 1.5, ColdRateSlack: 5,
	}
	data, err := platformtest.EncodeSettings(&v.settings)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	v.process = exec.Command(program, "--settings", file)
	v.process.Stdout, v.process.Stderr = v.log, v.log
	t.Cleanup(func() {
		if v.process.Process != nil {
			_ = v.process.Process.Signal(syscall.SIGKILL)
			<-v.exited
		}
		_, _ = v.store.Close(), upstream.Shutdown()
	})
	return v
}

// start starts the node process. The ports that startVM reserved are free by then.
func (v *testVM) start(t *testing.T) {
	t.Helper()
	if err := v.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = v.process.Wait()
		close(v.exited)
	}()
}

// putConfig publishes a version with a public route for the prefix.
func (v *testVM) putConfig(t *testing.T, version uint64, prefix string) {
	t.Helper()
	config, err := mesh.NewConfig(version, []*mesh.Service{{Name: "orders", HealthPath: "/health", MaxConnections: 50, ColdRequestsPerSecond: 10}}, nil, []*mesh.Route{{
		Name: "r", Host: "shop", PathPrefix: prefix, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2, Public: true,
		Destinations: []mesh.Destination{{Service: "orders", Weight: 1}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	data, err := platformtest.EncodeConfig(config)
	if err != nil {
		t.Fatal(err)
	}
	v.store.Put(platformtest.ConfigKey, data)
}

// status sends a request to the node and returns the status, or 0 without an answer.
func (v *testVM) status(path string) int {
	client := &fasthttp.HostClient{Addr: v.settings.CallerAddress, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://shop" + path)
	req.Header.Set(platform.Headers.RequestID, fmt.Sprint(time.Now().UnixNano()))
	if err := client.DoTimeout(req, resp, 3*time.Second); err != nil {
		return 0
	}
	return resp.StatusCode()
}

// Guards against a node that ends, stops following the store or sends requests to a wrong place because another writer left
// an odd entry among those of the upstreams: very deeply nested, with a number too large, or with a port out of range.
func TestOddEntriesDoNotAffectNode(t *testing.T) {
	g := NewWithT(t)
	v := startVM(t, "127.201.0.1")
	own, err := platformtest.EncodeUpstream(v.upstream)
	g.Expect(err).NotTo(HaveOccurred())
	entries, err := platformtest.EncodeOddUpstreams(v.upstream)
	g.Expect(err).NotTo(HaveOccurred())
	v.putConfig(t, 1, "/v1/")
	v.store.Put(platformtest.UpstreamKey(v.upstream.ID), own)
	v.start(t)
	g.Eventually(func() int { return v.status("/v1/a") }, 5*time.Second, 50*time.Millisecond).Should(Equal(200))
	version := uint64(1)
	for name, entry := range entries {
		version++
		v.store.Put(platformtest.UpstreamKey(fmt.Sprint("odd-", version)), entry)
		path := fmt.Sprintf("/v%d/", version)
		v.putConfig(t, version, path)
		g.Eventually(func() int { return v.status(path + "a") }, 4*time.Second, 20*time.Millisecond).Should(Equal(200), "after an entry: %s", name)
		for range 5 {
			g.Expect(v.status(path+"a")).To(Equal(200), "after an entry: %s", name)
		}
	}
	select {
	case <-v.exited:
		t.Error("the node's process has ended")
	default:
	}
	g.Expect(v.log.String()).NotTo(ContainSubstring("panic"))
	// The addresses out of range name no further VM.
	g.Expect(v.log.String()).NotTo(MatchRegexp(`"vms":[2-9]`))
}
