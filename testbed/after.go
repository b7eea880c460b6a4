package testbed

import "time"

// test is what After needs of a test.
type test interface {
	Helper()
	Cleanup(f func())
}

// After does something a while after the test has gone on, and before it ends.
func After(t test, d time.Duration, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(d)
		f()
	}()
	t.Cleanup(func() { <-done })
}
