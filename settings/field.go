package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// field is one setting: where it stands in the file and how it is read.
type field struct {
	section  string
	key      string
	fallback string
	required bool
	secret   bool
	set      func(string) error
	value    string
	origin   string
}

// Option says more about a setting.
type Option func(*field)

// WithDefault sets the value that stands when the file leaves the key out.
func WithDefault(value string) Option { return func(f *field) { f.fallback = value } }

// Required makes it an error to leave the key out.
func Required() Option { return func(f *field) { f.required = true } }

// Secret keeps the value out of what Print shows.
func Secret() Option { return func(f *field) { f.secret = true } }

func (f *field) displayValue() string {
	if f.secret && f.value != "" {
		return "(set)"
	}
	return f.value
}

func (s *Set) addField(section, key string, set func(string) error, opts []Option) {
	f := &field{section: section, key: key, set: set}
	for _, opt := range opts {
		opt(f)
	}
	s.fields = append(s.fields, f)
}

// String declares a text.
func (s *Set) String(section, key string, into *string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		*into = v
		return nil
	}, opts)
}

// Bool declares a yes or no.
func (s *Set) Bool(section, key string, into *bool, opts ...Option) {
	s.addField(section, key, func(v string) error {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return errors.Newf("%q is not true or false", v)
		}
		*into = b
		return nil
	}, opts)
}

// Int declares a whole number in a range.
func (s *Set) Int(section, key string, into *int, least, most int, opts ...Option) {
	s.addField(section, key, func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < least || n > most {
			return errors.Newf("%q is not a whole number from %d to %d", v, least, most)
		}
		*into = n
		return nil
	}, opts)
}

// Millis declares a span of time in milliseconds.
func (s *Set) Millis(section, key string, into *clock.Millis, opts ...Option) {
	s.addField(section, key, func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			return errors.Newf("%q is not a number of milliseconds", v)
		}
		*into = clock.Millis(n)
		return nil
	}, opts)
}

// Address declares an IP number and port, such as 127.0.0.1:8080. Port 0 asks
// the kernel for one.
func (s *Set) Address(section, key string, into *string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		if v == "" {
			*into = ""
			return nil
		}
		if _, err := netip.ParseAddrPort(v); err != nil {
			return errors.Newf("%q is not an IP number and port; write it like 127.0.0.1:8080", v)
		}
		*into = v
		return nil
	}, opts)
}

// Addresses declares a list of addresses, separated by commas.
func (s *Set) Addresses(section, key string, into *[]string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		*into = nil
		for _, part := range strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' }) {
			if _, err := netip.ParseAddrPort(part); err != nil {
				return errors.Newf("%q is not an IP number and port; write it like 127.0.0.1:8080", part)
			}
			*into = append(*into, part)
		}
		return nil
	}, opts)
}

// File declares the path of a file that must be there, or nothing.
func (s *Set) File(section, key string, into *string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		if v != "" {
			if _, err := os.Stat(v); err != nil {
				return errors.Newf("there is no file %q; write the file first or correct the path", v)
			}
		}
		*into = v
		return nil
	}, opts)
}

// OneOf declares a word out of a few.
func (s *Set) OneOf(section, key string, into *string, words []string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		for _, w := range words {
			if v == w {
				*into = v
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %s", v, strings.Join(words, ", "))
	}, opts)
}

// Float declares a number in a range.
func (s *Set) Float(section, key string, into *float64, least, most float64, opts ...Option) {
	s.addField(section, key, func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < least || n > most {
			return errors.Newf("%q is not a number from %g to %g", v, least, most)
		}
		*into = n
		return nil
	}, opts)
}
