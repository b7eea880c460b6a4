package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/logging"
)

// defaultMaxBody bounds bodies before a configuration is known, in bytes.
const defaultMaxBody = 4 << 20

// bodyReadTimeout bounds the reading of a body, and writeDeadlineSlack the writing of an
// answer beyond the caller's own deadline.
const (
	bodyReadTimeout    = 10 * time.Second
	writeDeadlineSlack = 2 * time.Second
)

// readBody reads a request whole, so that it can be sent more than once.
func (r *Relay) readBody(w http.ResponseWriter, req *http.Request) (body []byte, status int) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, 0
	}
	most := int64(defaultMaxBody)
	if limits := r.limits.Load(); limits != nil && limits.MaxBodyBytes > 0 {
		most = limits.MaxBodyBytes
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		r.log.Info("no_read_deadline", logging.Err(err))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, most))
	if err == nil {
		if err := control.SetReadDeadline(time.Time{}); err != nil {
			r.log.Info("no_read_deadline", logging.Err(err))
		}
		return body, 0
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge
	}
	return nil, http.StatusRequestTimeout
}

// setWriteDeadline keeps a caller that does not read from holding the node up.
func (r *Relay) setWriteDeadline(w http.ResponseWriter, head CallerHead) {
	var deadline time.Time
	if head.Remaining > 0 {
		deadline = time.Now().Add(head.Remaining.Duration() + writeDeadlineSlack)
	}
	err := http.NewResponseController(w).SetWriteDeadline(deadline)
	if err != nil {
		r.log.Info("no_write_deadline", logging.Err(err))
	}
}
