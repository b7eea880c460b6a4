// Package known holds values that a process reads from elsewhere at its start or after a break.
//
// Such a value has three states, and the zero Value is the first:
//
//	not read         nothing is known; what is there may be anything
//	read and empty   nothing was there at the time of the reading
//	known            a value was there at the time of the reading
//
// A zero value of a plain type joins the first two, and code that decides on it takes what could not
// be read for nothing. A Value gives its content to Match alone, whose caller says what follows in
// each state.
package known

import "github.com/hoistjunction/hoistjunction/clock"

// Value is the result of the last reading of a T, or of none.
type Value[T any] struct {
	state  state
	value  T
	readAt clock.Millis
}

type state uint8

const (
	notRead state = iota
	empty
	present
)

// Empty returns the result of a reading at a time that found nothing.
func Empty[T any](readAt clock.Millis) Value[T] { return Value[T]{state: empty, readAt: readAt} }

// Of returns the result of a reading at a time that found a value.
func Of[T any](value T, readAt clock.Millis) Value[T] {
	return Value[T]{state: present, value: value, readAt: readAt}
}

// IsRead reports whether there has been a reading, whatever it found.
func (v Value[T]) IsRead() bool { return v.state != notRead }

// Match returns the result of the function for the state of v. The times are those of the readings.
func Match[T, R any](v Value[T], onNotRead func() R, onEmpty func(readAt clock.Millis) R, onValue func(value T, readAt clock.Millis) R) R {
	switch v.state {
	case empty:
		return onEmpty(v.readAt)
	case present:
		return onValue(v.value, v.readAt)
	default:
		return onNotRead()
	}
}
