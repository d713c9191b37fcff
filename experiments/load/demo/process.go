package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout bounds a graceful shutdown. It exceeds the sum of the drain notice and the longest deadline of a call.
const stopTimeout = 8 * time.Second

// process is the node process of one VM. Signals are sent only to the ID of this process.
type process struct {
	vm           *vm
	binary       string
	settingsFile string
	logFile      string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exitStatus receives the result of the current process when it exits; exited is closed after that.
	exitStatus chan exitStatus
	exited     chan struct{}
}

// exitStatus is the result of a process; err is nil for exit code 0.
type exitStatus struct{ err error }

// newProcess writes the settings file of a node into directory. It does not start the process.
func newProcess(v *vm, binary, directory string, settings nodeSettings) (*process, error) {
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p := &process{
		vm:           v,
		binary:       binary,
		settingsFile: filepath.Join(directory, v.name+".json"),
		logFile:      filepath.Join(directory, v.name+".log"),
	}
	return p, os.WriteFile(p.settingsFile, encoded, 0o600)
}

// start starts the process in its own process group, so that an interrupt at the terminal reaches only the demo, which
// then stops the nodes gracefully.
func (p *process) start() error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("node %s is already running", p.vm.name)
	}
	cmd := exec.Command(p.binary, "--settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan exitStatus, 1)
	ended := make(chan struct{})
	go func() {
		done <- exitStatus{cmd.Wait()}
		close(ended)
	}()
	p.cmd, p.exitStatus, p.exited = cmd, done, ended
	return nil
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// checkNotExited returns an error if the process has exited by itself.
func (p *process) checkNotExited() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return fmt.Errorf("node %s exited unexpectedly; see its log %s", p.vm.name, p.logFile)
	default:
		return nil
	}
}

func (p *process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("node %s is not running", p.vm.name)
	}
	return p.cmd.Process.Signal(s)
}

// kill ends the process with SIGKILL and waits until it has exited.
func (p *process) kill() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	err := p.cmd.Process.Kill()
	<-p.exitStatus
	p.cmd = nil
	return err
}

// stop requests a graceful shutdown with SIGTERM and waits for it. It returns an error if the process does not exit
// with code 0 within stopTimeout. SIGCONT comes first, because a frozen process would not handle SIGTERM.
func (p *process) stop() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	defer func() { p.cmd = nil }()
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case e := <-p.exitStatus:
		if e.err != nil {
			return fmt.Errorf("node %s: %w; see %s", p.vm.name, e.err, p.logFile)
		}
		return nil
	case <-timer.C:
		_ = p.cmd.Process.Kill()
		<-p.exitStatus
		return fmt.Errorf("node %s did not stop within %v; see %s", p.vm.name, stopTimeout, p.logFile)
	}
}
