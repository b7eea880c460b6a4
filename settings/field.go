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

// field is one setting: its section and key in the file, how its value is parsed, and the value
// with its origin.
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

// Option configures a setting.
type Option func(*field)

// WithDefault sets the value that applies when the file does not contain the key.
func WithDefault(value string) Option { return func(f *field) { f.fallback = value } }

// Required makes a missing key an error.
func Required() Option { return func(f *field) { f.required = true } }

// Secret hides the value in the output of Print.
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

// String declares a string.
func (s *Set) String(section, key string, target *string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		*target = v
		return nil
	}, opts)
}

// Bool declares a boolean.
func (s *Set) Bool(section, key string, target *bool, opts ...Option) {
	s.addField(section, key, func(v string) error {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return errors.Newf("%q is not true or false", v)
		}
		*target = b
		return nil
	}, opts)
}

// Int declares an integer from low to high, inclusive.
func (s *Set) Int(section, key string, target *int, low, high int, opts ...Option) {
	s.addField(section, key, func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return errors.Newf("%q is not a whole number from %d to %d", v, low, high)
		}
		*target = n
		return nil
	}, opts)
}

// Millis declares a duration in milliseconds.
func (s *Set) Millis(section, key string, target *clock.Millis, opts ...Option) {
	s.addField(section, key, func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			return errors.Newf("%q is not a number of milliseconds", v)
		}
		*target = clock.Millis(n)
		return nil
	}, opts)
}

// Address declares an IP address and port, such as 127.0.0.1:8080. With port 0 the kernel chooses
// the port.
func (s *Set) Address(section, key string, target *string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		if v == "" {
			*target = ""
			return nil
		}
		if _, err := netip.ParseAddrPort(v); err != nil {
			return errors.Newf("%q is not an IP number and port; write it like 127.0.0.1:8080", v)
		}
		*target = v
		return nil
	}, opts)
}

// Addresses declares a list of IP addresses and ports, separated by commas or spaces.
func (s *Set) Addresses(section, key string, target *[]string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		*target = nil
		for _, part := range strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' }) {
			if _, err := netip.ParseAddrPort(part); err != nil {
				return errors.Newf("%q is not an IP number and port; write it like 127.0.0.1:8080", part)
			}
			*target = append(*target, part)
		}
		return nil
	}, opts)
}

// File declares the path of an existing file. An empty path is valid too.
func (s *Set) File(section, key string, target *string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		if v != "" {
			if _, err := os.Stat(v); err != nil {
				return errors.Newf("there is no file %q; write the file first or correct the path", v)
			}
		}
		*target = v
		return nil
	}, opts)
}

// OneOf declares a value from a fixed list.
func (s *Set) OneOf(section, key string, target *string, values []string, opts ...Option) {
	s.addField(section, key, func(v string) error {
		for _, value := range values {
			if v == value {
				*target = v
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %s", v, strings.Join(values, ", "))
	}, opts)
}

// Float declares a number from low to high, inclusive.
func (s *Set) Float(section, key string, target *float64, low, high float64, opts ...Option) {
	s.addField(section, key, func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < low || n > high {
			return errors.Newf("%q is not a number from %g to %g", v, low, high)
		}
		*target = n
		return nil
	}, opts)
}
