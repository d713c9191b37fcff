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

// stopTimeout bounds a graceful shutdown: the drain notice, the longest deadline and some time to spare.
const stopTimeout = 8 * time.Second

// process is the node process of one VM. It is ended only by its own process id.
type process struct {
	vm       *vm
	binary   string
	settings string
	log      string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan exit
	// ended is closed when the present process has ended.
	ended chan struct{}
}

// exit is how a process ended; err is nil for exit code 0.
type exit struct{ err error }

// newProcess writes the settings file into directory.
func newProcess(v *vm, binary, directory string, settings nodeSettings) (*process, error) {
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p := &process{
		vm:       v,
		binary:   binary,
		settings: filepath.Join(directory, v.name+".json"),
		log:      filepath.Join(directory, v.name+".log"),
	}
	return p, os.WriteFile(p.settings, encoded, 0o600)
}

// start starts the process in a process group of its own, so that an interrupt at the terminal reaches the
// driver only, which then stops the nodes in order.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("node %s runs already", p.vm.name)
	}
	cmd := exec.Command(p.binary, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan exit, 1)
	ended := make(chan struct{})
	go func() {
		done <- exit{cmd.Wait()}
		close(ended)
	}()
	p.cmd, p.done, p.ended = cmd, done, ended
	return nil
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// alive returns an error when the process ended by itself.
func (p *process) alive() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return fmt.Errorf("node %s ended by itself; see %s", p.vm.name, p.log)
	default:
		return nil
	}
}

func (p *process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("node %s does not run", p.vm.name)
	}
	return p.cmd.Process.Signal(s)
}

// kill ends the process without warning and waits for its end.
func (p *process) kill() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	err := p.cmd.Process.Kill()
	<-p.done
	p.cmd = nil
	return err
}

// stop asks for a graceful shutdown. It returns an error when the process does not end by itself with exit
// code 0.
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
	case e := <-p.done:
		if e.err != nil {
			return fmt.Errorf("node %s: %w; see %s", p.vm.name, e.err, p.log)
		}
		return nil
	case <-timer.C:
		_ = p.cmd.Process.Kill()
		<-p.done
		return fmt.Errorf("node %s did not stop within %v; see %s", p.vm.name, stopTimeout, p.log)
	}
}
