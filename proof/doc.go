// Package proof holds the tests that run entry nodes as separate processes, so that a
// node can be frozen with SIGSTOP or killed with SIGKILL.
package proof
