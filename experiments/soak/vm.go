package soak

import (
	"errors"
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
	// stopGrace is how long a node may take to stop after SIGTERM before it is killed.
	stopGrace = 4 * time.Second
	// restartDelay is the time between the exit of a node's process and its next start.
	restartDelay = 300 * time.Millisecond
	// readyTimeout bounds the wait until all nodes are ready at the start of a soak run.
	readyTimeout = 10 * time.Second
	// portsPerVM is the number of ports that each VM uses.
	portsPerVM = 7
)

// vm simulates a VM by a loopback address with a node process, an upstream stand-in and network paths.
type vm struct {
	name     string
	settings platformtest.NodeSettings
	upstream *upstreamStandIn
	// peerPath carries the connections of other nodes to this one, upstreamPath those to the upstream and storePath
	// those of the node to the store.
	peerPath, upstreamPath, storePath *networkPath

	soak         *soakRun
	settingsFile string
	logFile      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// exitExpected is true when the soak run ends the process itself. After stopped is set, the process is not
	// restarted.
	exitExpected bool
	stopped      bool
	startedAt    time.Time
	exited       chan struct{}
}

// freePorts returns portsPerVM ports that are free on an address. All VMs use the same port numbers.
func freePorts(ip string) ([]int, error) {
	ports := make([]int, portsPerVM)
	for i := range ports {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// newVM prepares VM i, starts its upstream and opens the paths to the upstream and to the store. The node is not
// started yet.
func (s *soakRun) newVM(i int, ip string, ports []int, storeAddress string) (*vm, error) {
	portAddress := func(n int) string { return fmt.Sprintf("%s:%d", ip, ports[n]) }
	v := &vm{name: fmt.Sprintf("vm%d", i), soak: s}
	v.settings = platformtest.NodeSettings{
		VM: v.name, Service: services[i%len(services)], DataCentre: dataCentres[(i/len(services))%len(dataCentres)],
		CallerAddress: portAddress(0), PeerAddress: portAddress(1), PeerListenAddress: portAddress(2),
		ReadyAddress: portAddress(3), UpstreamAddress: portAddress(4), StoreAddress: portAddress(6),
		HeartbeatInterval: heartbeatInterval, StopGracePeriod: stopGrace,
		ColdRateFactor: coldRateFactor, ColdRateSlack: coldRateSlack,
	}
	random := newRandomSource(s.options.Seed, uint64(100+i))
	newPath := func(address, target string) *networkPath {
		return &networkPath{options: link.Options{Address: address, Target: target}, log: s.options.Log}
	}
	v.peerPath, v.upstreamPath = newPath(v.settings.PeerAddress, v.settings.PeerListenAddress), newPath(v.settings.UpstreamAddress, portAddress(5))
	v.storePath = newPath(v.settings.StoreAddress, storeAddress)
	v.upstream = newUpstreamStandIn(v, v.settings.Service, s.store, s.ledger, random)
	v.upstream.pace = s.newPace(i)
	if err := v.upstream.serve(portAddress(5)); err != nil {
		return nil, err
	}
	for _, p := range []*networkPath{v.upstreamPath, v.storePath} {
		if err := p.open(); err != nil {
			return nil, err
		}
	}
	v.settingsFile = filepath.Join(s.options.Directory, v.name+".json")
	if err := v.writeSettings(); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.options.Directory, v.name+".log"))
	v.logFile = log
	return v, err
}

// writeSettings writes the settings file of the node. It replaces the file at once, because a node that starts while the
// file is empty ends with an error.
func (v *vm) writeSettings() error {
	data, err := platformtest.EncodeSettings(&v.settings)
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(v.soak.options.Directory, v.name+"-*.new")
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), v.settingsFile)
}

// startNode starts the node's process, unless the VM is shut down, and opens the path from its peers.
func (v *vm) startNode() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return nil
	}
	v.command = exec.Command(v.soak.options.NodeProgram)
	v.command.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settingsFile)
	v.command.Stdout, v.command.Stderr = v.logFile, v.logFile
	// In a process group of its own, the node does not receive the interrupt of a terminal. The soak program does and
	// stops its nodes.
	v.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	v.exitExpected = false
	if err := v.command.Start(); err != nil {
		return eris.Wrap(err, "cannot start the node; build its program first")
	}
	if err := v.peerPath.open(); err != nil {
		return err
	}
	v.startedAt = time.Now()
	v.soak.ledger.recordPlannedWork(workStart, v.name, v.startedAt)
	v.exited = make(chan struct{})
	go v.supervise(v.command, v.exited)
	return nil
}

// supervise restarts the process after its exit, as the platform does.
func (v *vm) supervise(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	v.peerPath.close()
	v.mu.Lock()
	expected, stopped := v.exitExpected, v.stopped
	v.mu.Unlock()
	close(exited)
	if !expected {
		v.soak.ledger.addViolation("exits", "the process of %s ended by itself: %v", v.name, err)
	}
	if stopped {
		return
	}
	time.Sleep(restartDelay)
	if err := v.startNode(); err != nil {
		v.soak.ledger.addViolation("harness", "%s does not start again: %v", v.name, err)
	}
}

// signal sends a signal to the node's process.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		v.exitExpected = true
	}
	at := time.Now()
	if err := v.command.Process.Signal(sig); err != nil {
		v.soak.options.Log.WithError(err).WithField("vm", v.name).Debug("cannot signal the node's process; it may have exited")
		return
	}
	switch sig {
	case syscall.SIGTERM:
		v.soak.ledger.recordPlannedWork(workStop, v.name, at)
	case syscall.SIGHUP:
		v.soak.ledger.recordPlannedWork(workReload, v.name, at)
	}
}

// age returns how long ago the process was started.
func (v *vm) age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.startedAt)
}

// terminate sends SIGTERM, kills the process if it still runs after stopGrace, and waits for its exit.
func (v *vm) terminate() {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		v.soak.ledger.increment("killed after the grace")
		v.signal(syscall.SIGKILL)
		<-exited
	}
}

// shutDown stops the process and prevents its restart.
func (v *vm) shutDown() {
	v.mu.Lock()
	v.stopped = true
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.terminate()
}

// ready reports whether the node reports that it is ready.
func (v *vm) ready() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+v.settings.ReadyAddress+platform.Headers.ReadinessPath, time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// peakMemoryMB returns the peak resident memory of the process in megabytes.
func (v *vm) peakMemoryMB() (int, error) {
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
	return 0, eris.New("/proc/PID/status of the node has no line VmHWM; run the soak on Linux")
}
