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

// nodeSettings is the content of the settings file of a node.
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

// stopTimeout bounds the graceful stop of a node: its drain notice takes 2 s, the rest is a margin.
const stopTimeout = 10 * time.Second

// nodeProcess is a node process. Signals are sent only to its own process ID.
type nodeProcess struct {
	name    string
	logFile string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// startProcess writes the settings file into directory and starts the node. The node gets a process group of its own,
// so that the interrupt of a terminal reaches only this program, which then stops its nodes.
func startProcess(binary, directory string, s nodeSettings) (*nodeProcess, error) {
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(directory, s.VM+".json")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		return nil, err
	}
	p := &nodeProcess{name: s.VM, logFile: filepath.Join(directory, s.VM+".log"), exited: make(chan struct{})}
	log, err := os.Create(p.logFile)
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
		close(p.exited)
	}()
	return p, nil
}

// requestStop sends SIGTERM, the request for a graceful stop.
func (p *nodeProcess) requestStop() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// awaitExit waits until the process exits and kills it after stopTimeout.
func (p *nodeProcess) awaitExit() {
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// processUsage is the processor time that a process has used so far and its current resident memory.
type processUsage struct {
	processorTime time.Duration
	residentBytes float64
}

var errReadUsage = errors.New("cannot read the resource usage of a process under /proc")

// ticksPerSecond is the unit of the processor times in /proc on Linux.
const ticksPerSecond = 100

// readUsage reads the processor time, which Linux reports in steps of 10 ms, and the resident memory.
func (p *nodeProcess) readUsage() (u processUsage, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return u, fmt.Errorf("%w: %s: %w; see %s", errReadUsage, p.name, err, p.logFile)
	}
	// The name of the program is in parentheses and may contain spaces; the field after it is the third one.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	const userTicks, systemTicks, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return u, fmt.Errorf("%w: the stat file of %s has too few fields", errReadUsage, p.name)
	}
	number := func(i int) float64 {
		v, parseErr := strconv.ParseFloat(string(fields[i]), 64)
		err = errors.Join(err, parseErr)
		return v
	}
	ticks := number(userTicks) + number(systemTicks)
	u.processorTime = time.Duration(ticks * float64(time.Second) / ticksPerSecond)
	u.residentBytes = number(residentPages) * float64(os.Getpagesize())
	return u, err
}
