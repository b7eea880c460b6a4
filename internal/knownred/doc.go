// Package knownred holds the test of the list of known failures: of .ci/known-red, which reads it.
package knownred
