package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a SIGHUP that ends the process, with all its requests, because it comes while the settings are not
// watched yet. The settings are a named pipe here, so the process waits for them until the test writes them.
func TestHangupDuringStartDoesNotEndProcess(t *testing.T) {
	g := NewWithT(t)
	directory := t.TempDir()
	program, settings := filepath.Join(directory, "sidecar"), filepath.Join(directory, "settings.json")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
	g.Expect(syscall.Mkfifo(settings, 0o600)).To(Succeed())
	command := exec.Command(program, "--settings", settings)
	g.Expect(command.Start()).To(Succeed())
	// Opening the pipe for writing waits until the process reads from it.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed())
	_, err = pipe.WriteString("no settings")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pipe.Close()).To(Succeed())
	var exit *exec.ExitError
	g.Expect(errors.As(command.Wait(), &exit)).To(BeTrue())
	g.Expect(exit.ExitCode()).To(Equal(exitSettings), exit.String())
}
