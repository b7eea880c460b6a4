//go:build !suspendable

package clock

import "time"

// thisVM returns the VM that the process runs on.
func thisVM() VM { return systemVM{start: time.Now()} }
