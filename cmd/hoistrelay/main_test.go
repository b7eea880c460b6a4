package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// settingsVariable makes the test binary run the command with the settings file that it names.
const settingsVariable = "HOISTRELAY_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		if start(arguments{Settings: path}) != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Guards against a SIGHUP just after the start that ends the process: until the process handles that
// signal, its default action applies.
func TestHangupDuringStartEndsNothing(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "relay.ini")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsVariable+"="+path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	// Opening the pipe waits until the process opens it, which then waits for what is written.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// A process that has ended cannot be written to. These settings end one that is still there.
	_, _ = settings.WriteString("[unknown]\n")
	_ = settings.Close()
	_ = cmd.Wait()
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signaled() {
		t.Errorf("got %v, want a process that a hangup does not end", cmd.ProcessState)
	}
}
