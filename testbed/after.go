package testbed

import "time"

// testingT is the subset of testing.TB that AfterFunc uses.
type testingT interface {
	Helper()
	Cleanup(f func())
}

// AfterFunc calls f in a goroutine after d. The test does not finish before f has returned.
func AfterFunc(t testingT, d time.Duration, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(d)
		f()
	}()
	t.Cleanup(func() { <-done })
}
