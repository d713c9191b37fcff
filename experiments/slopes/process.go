package slopes

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Ports of a VM. Each VM has a loopback address of its own.
const (
	callerPort = 7301 + iota
	localPort
	peerPort
	controlPort
	operatorPort
	upstreamPort
	controlLinkPort
	platformPort
)

// nodeSettings is the settings file of a node.
type nodeSettings struct {
	VM                   string   `json:"vm"`
	Upstream             string   `json:"upstream"`
	DataCentre           string   `json:"data_centre"`
	CallerAddress        string   `json:"caller_address"`
	LocalAddress         string   `json:"local_address"`
	PeerAddress          string   `json:"peer_address"`
	ControlAddress       string   `json:"control_address"`
	OperatorAddress      string   `json:"operator_address"`
	UpstreamAddress      string   `json:"upstream_address"`
	PlatformAddresses    []string `json:"platform_addresses"`
	DialAddress          string   `json:"dial_address"`
	SeedControlAddresses []string `json:"seed_control_addresses,omitempty"`
	LogLevel             string   `json:"log_level"`
}

// stopTimeout bounds the graceful stop of a node: the drain notice of 2 s and time to spare.
const stopTimeout = 10 * time.Second

// process is one node, ended only by its own process id.
type process struct {
	name  string
	log   string
	cmd   *exec.Cmd
	ended chan struct{}
}

// startProcess writes the settings into directory and starts the node in a process group of its own, so that an
// interrupt at the terminal reaches the driver only, which then stops its nodes.
func startProcess(binary, directory string, s nodeSettings) (*process, error) {
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(directory, s.VM+".json")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		return nil, err
	}
	p := &process{name: s.VM, log: filepath.Join(directory, s.VM+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(binary, "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// signalStop asks for a graceful stop.
func (p *process) signalStop() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// awaitEnd waits for the end and kills the process when it does not come.
func (p *process) awaitEnd() {
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	// resident is in bytes.
	resident float64
}

var errProc = errors.New("the process's figures under /proc cannot be read")

// ticksPerSecond is the unit of processor times in /proc on Linux.
const ticksPerSecond = 100

// usage reads the processor time, in steps of 10 ms, and the resident memory.
func (p *process) usage() (u usage, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return u, fmt.Errorf("%w: %s: %w; see %s", errProc, p.name, err, p.log)
	}
	// The name of the program, in brackets, may hold spaces; the third field follows it.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	const userTicks, systemTicks, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return u, fmt.Errorf("%w: %s", errProc, p.name)
	}
	number := func(i int) float64 {
		v, parseErr := strconv.ParseFloat(string(fields[i]), 64)
		err = errors.Join(err, parseErr)
		return v
	}
	ticks := number(userTicks) + number(systemTicks)
	u.processor = time.Duration(ticks * float64(time.Second) / ticksPerSecond)
	u.resident = number(residentPages) * float64(os.Getpagesize())
	return u, err
}
