// Package logging sets up the logs: one line of key=value pairs for each event, with a level that
// can be changed at run time.
package logging

import (
	"os"

	"github.com/cockroachdb/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ErrLevel is returned for a level other than debug, info, warn and error.
var ErrLevel = errors.New("logging: no such level")

// Log is a logger with an adjustable level.
type Log struct {
	*zap.Logger
	level zap.AtomicLevel
}

// New returns a logger that writes to standard error.
func New(level string) (*Log, error) { return NewTo(level, zapcore.Lock(os.Stderr)) }

// NewTo returns a logger that writes to out.
func NewTo(level string, out zapcore.WriteSyncer) (*Log, error) {
	l := &Log{level: zap.NewAtomicLevel()}
	if err := l.SetLevel(level); err != nil {
		return nil, err
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.TimeKey = "time"
	c.MessageKey = "event"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(c), out, l.level)
	l.Logger = zap.New(core)
	return l, nil
}

// Nop returns a logger that discards everything.
func Nop() *Log { return &Log{Logger: zap.NewNop(), level: zap.NewAtomicLevel()} }

// SetLevel changes the level of all later log lines.
func (l *Log) SetLevel(level string) error {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return errors.Wrapf(ErrLevel, "%q; use debug, info, warn or error", level)
	}
	l.level.SetLevel(parsed)
	return nil
}
