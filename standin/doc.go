// Package standin plays the outside world in tests, demonstrations and
// measurements: a model engine, a plain service and the platform, each small
// and with its faults as switches.
//
// The engine's model makes the promises checkable from outside. Each layer
// folds what it is given, and where, into a running digest, and the emitted
// tokens are made from that. A layer that is skipped, doubled or run out of
// order, or that is given another request's activations, changes the answer.
// Reference works out what the answer must be.
package standin
