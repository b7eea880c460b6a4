package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/logging"
)

// defaultMaxBody bounds request bodies, in bytes, until a configuration is loaded.
const defaultMaxBody = 4 << 20

// bodyReadTimeout bounds the time for reading a request body. writeDeadlineSlack is added to
// the caller's deadline to bound the writing of the answer.
const (
	bodyReadTimeout    = 10 * time.Second
	writeDeadlineSlack = 2 * time.Second
)

// readBody reads the whole request body, so that the request can be sent more than once.
func (r *Relay) readBody(w http.ResponseWriter, req *http.Request) (body []byte, status int) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, 0
	}
	maxBytes := int64(defaultMaxBody)
	if limits := r.limits.Load(); limits != nil && limits.MaxBodyBytes > 0 {
		maxBytes = limits.MaxBodyBytes
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		r.log.Info("no_read_deadline", logging.Err(err))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBytes))
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

// setWriteDeadline sets a write deadline, so that a caller that does not read its answer cannot
// block the node.
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
