package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/platform"
	"github.com/bamboodeal/bamboodeal/platform/platformtest"
	"github.com/bamboodeal/bamboodeal/standin/link"
)

const (
	stopGrace = 4 * time.Second
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// readyTimeout bounds the wait for a node to be ready at the start of a soak.
	readyTimeout = 10 * time.Second
	// portCount is the number of ports on each VM.
	portCount = 7
	filePerm  = 0o600
)

// vm is an address of loopback with a node, its upstream, and the paths to them and to the store.
type vm struct {
	name     string
	settings platformtest.NodeSettings
	upstream *upstream
	// peers, upstreams and store carry the connections of other nodes, to the upstream and to the store.
	peers, upstreams, store *path

	soak *soak
	path string
	log  *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// signalled is true when the soak ends the process; stopped means that it is not started again.
	signalled bool
	stopped   bool
	ended     chan struct{}
	// term is when the process was last asked to stop.
	term time.Time
}

// ports returns ports that are free on an address; all VMs use the same.
func ports(ip string) ([]int, error) {
	list := make([]int, portCount)
	for i := range list {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		list[i] = l.Addr().(*net.TCPAddr).Port
	}
	return list, nil
}

// newVM prepares a VM; its upstream runs and its node does not.
func (s *soak) newVM(i int, ip string, port []int, storeAddress string) (*vm, error) {
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, port[n]) }
	v := &vm{name: fmt.Sprintf("vm%d", i), soak: s}
	v.settings = platformtest.NodeSettings{
		VM: v.name, Service: services[i%len(services)], DataCentre: dataCentres[(i/len(services))%len(dataCentres)],
		CallerAddress: at(0), PeerAddress: at(1), PeerListenAddress: at(2), ReadyAddress: at(3), UpstreamAddress: at(4), StoreAddress: at(6),
		HeartbeatInterval: heartbeat, StopGracePeriod: stopGrace, ColdRateFactor: coldOver, ColdRateSlack: coldSlack,
	}
	random := newSource(s.o.Seed, uint64(100+i))
	to := func(address, target string) *path {
		return &path{options: link.Options{Address: address, Target: target}, log: s.o.Log}
	}
	v.peers, v.upstreams = to(v.settings.PeerAddress, v.settings.PeerListenAddress), to(v.settings.UpstreamAddress, at(5))
	v.store = to(v.settings.StoreAddress, storeAddress)
	v.upstream = newUpstream(v, v.settings.Service, s.store, s.ledger, random)
	if err := v.upstream.serve(at(5)); err != nil {
		return nil, err
	}
	for _, p := range []*path{v.upstreams, v.store} {
		if err := p.open(); err != nil {
			return nil, err
		}
	}
	v.path = filepath.Join(s.o.Directory, v.name+".json")
	if err := v.writeSettings(); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.o.Directory, v.name+".log"))
	v.log = log
	return v, err
}

func (v *vm) writeSettings() error {
	data, err := platformtest.EncodeSettings(&v.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(v.path, data, filePerm)
}

// start starts the node's process.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return nil
	}
	v.command = exec.Command(v.soak.o.NodeProgram)
	v.command.Env = append(os.Environ(), platform.SettingsVariable+"="+v.path)
	v.command.Stdout, v.command.Stderr = v.log, v.log
	// An interrupt at the terminal reaches the driver only, which then stops its nodes.
	v.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	v.signalled = false
	if err := v.command.Start(); err != nil {
		return eris.Wrap(err, "cannot start the node; build the program first")
	}
	if err := v.peers.open(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go v.supervise(v.command, v.ended)
	return nil
}

// supervise starts the process again after its end, as the platform does.
func (v *vm) supervise(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	v.peers.refuse()
	v.mu.Lock()
	expected, stopped := v.signalled, v.stopped
	v.mu.Unlock()
	close(ended)
	if !expected {
		v.soak.ledger.violated("exits", "the process of %s ended by itself: %v", v.name, err)
	}
	if stopped {
		return
	}
	time.Sleep(restartDelay)
	if err := v.start(); err != nil {
		v.soak.ledger.violated("harness", "%s does not start again: %v", v.name, err)
	}
}

// signal sends a signal to the process that the soak started.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch sig {
	case syscall.SIGTERM:
		v.term, v.signalled = time.Now(), true
	case syscall.SIGKILL:
		v.signalled = true
	}
	if err := v.command.Process.Signal(sig); err != nil {
		v.soak.o.Log.WithError(err).WithField("vm", v.name).Debug("the process had ended")
	}
}

// terminate asks the process to stop, and kills it after the grace.
func (v *vm) terminate() {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopGrace):
		v.soak.ledger.count("killed after the grace")
		v.signal(syscall.SIGKILL)
		<-ended
	}
}

// end stops the process for good.
func (v *vm) end() {
	v.mu.Lock()
	v.stopped = true
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.terminate()
}

func (v *vm) ready() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+v.settings.ReadyAddress+platform.Headers.ReadinessPath, time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// residentMB returns the memory of the process in megabytes.
func (v *vm) residentMB() (int, error) {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			return kilobytes >> 10, err
		}
	}
	return 0, eris.New("the status of the process names no memory")
}
