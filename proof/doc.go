// Package proof holds the tests that need entry nodes as processes of their
// own: those that freeze one with SIGSTOP, and kill one with SIGKILL.
package proof
