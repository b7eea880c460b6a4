package rehearse

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/standin"
)

// Request is one request of a caller, with all attempts and the outcome.
type Request struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	DataCentre string `json:"centre"`
	Account    int    `json:"account"`
	Subject    string `json:"subject"`
	Caller     string `json:"caller"`
	Tokens     int    `json:"tokens"`
	// MemoryTokens is the memory that a stream takes at each layer, in tokens.
	MemoryTokens float64 `json:"memory"`
	// StartS is the time at which the request was due, in seconds from the start of the load.
	StartS float64 `json:"at_s"`
	// EndS is the time at which the request ended, in seconds from the start of the load.
	EndS    float64     `json:"end_s"`
	Outcome lab.Outcome `json:"outcome"`
	// FirstEventMS is the time from the first attempt to the first event, or to the whole
	// response of a request that is no stream. MaxPauseMS is the longest pause between two
	// events.
	FirstEventMS float64 `json:"first_ms"`
	MaxPauseMS   float64 `json:"pause_ms"`
	// FailureReason is the reason for which the last attempt failed; empty if the request was
	// served.
	FailureReason string    `json:"why,omitempty"`
	Refusals      []Refusal `json:"refusals,omitempty"`
	WrongAnswer   string    `json:"wrong,omitempty"`
}

// Refusal is an attempt that a node refused. AtMS is the time of the refusal, in ms since 1970,
// and RemainingMS the time that was left until the deadline of the request.
type Refusal struct {
	Reason       string  `json:"reason"`
	AtMS         int64   `json:"at_ms"`
	RemainingMS  int64   `json:"left_ms"`
	RetryAfterMS float64 `json:"back_ms"`
	answeredAt   time.Time
}

// sender sends one request, with its retries.
type sender struct {
	*Request
	kind         lab.RequestKind
	wantedEvents int
	promptTokens int
	answerTokens int
	client       *client
	startedAt    time.Time
	// eventsReceived counts the events of all attempts, and lastEventAt is the time of the last
	// one.
	eventsReceived int
	lastEventAt    time.Time
	served         bool
}

// errTruncated means that a response ended early, and errNotReached that no connection to the
// node could be made.
var (
	errTruncated  = errors.New("answer_cut")
	errNotReached = errors.New("node_not_reached")
)

// run sends the request until it is served, its deadline passes or its retries are used up.
func (s *sender) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.kind.DeadlineMS.Duration())
	defer cancel()
	for number := 0; ; number++ {
		delay, retry := s.attempt(ctx, number)
		if s.served || !retry || number >= s.kind.MaxRetries {
			break
		}
		if s.remaining() <= delay {
			break
		}
		sleep(ctx, delay)
	}
	s.Outcome = s.outcome()
	s.EndS = s.StartS + time.Since(s.startedAt).Seconds()
}

func (s *sender) remaining() time.Duration {
	return s.kind.DeadlineMS.Duration() - time.Since(s.startedAt)
}

// attempt sends the request once. If the request is not served, it returns the delay before a
// retry, and whether a retry is safe.
func (s *sender) attempt(ctx context.Context, number int) (delay time.Duration, retry bool) {
	resp, err := s.send(ctx, number)
	if err != nil {
		s.FailureReason = failureReason(ctx, err)
		return 0, s.kind.Mode != lab.ModeOnce || errors.Is(err, errNotReached)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		err := s.readAnswer(resp)
		if err != nil {
			s.FailureReason = failureReason(ctx, err)
		}
		return 0, s.kind.Mode != lab.ModeOnce
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return s.recordRefusal(resp), true
	default:
		s.FailureReason = fmt.Sprintf("status_%d_%s", resp.StatusCode, refusalReason(resp.Body))
		return 0, s.kind.Mode != lab.ModeOnce
	}
}

func (s *sender) send(ctx context.Context, number int) (*http.Response, error) {
	method, body := http.MethodPost, io.Reader(strings.NewReader(s.ID))
	if s.kind.Mode == lab.ModeRead {
		method, body = http.MethodGet, nil
	}
	node := s.client.node(number)
	path := fmt.Sprintf("/%s/%s~%d", s.kind.Name, s.Subject, s.wantedEvents)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node.callerAddress+path, body)
	if err != nil {
		return nil, err
	}
	req.Host, req.GetBody = standin.DeploymentHost, nil
	req.Header = standin.StreamClient{
		ID: fmt.Sprintf("%s-%d", s.ID, number), Key: standin.DeploymentKey(s.Account), PromptID: s.Subject,
		RemainingMS: int(s.remaining().Milliseconds()), PromptTokens: s.promptTokens, AnswerTokens: s.answerTokens, LastEventID: s.eventsReceived,
	}.Header()
	resp, err := s.client.transport(number).RoundTrip(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, errors.Mark(err, errNotReached)
	}
	return resp, err
}

// recordRefusal records a refusal and returns the delay from its Retry-After header; zero if
// there is none.
func (s *sender) recordRefusal(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	now := time.Now()
	s.FailureReason = refusalReason(resp.Body)
	s.Refusals = append(s.Refusals, Refusal{
		Reason: s.FailureReason, AtMS: now.UnixMilli(), RemainingMS: s.remaining().Milliseconds(), RetryAfterMS: seconds * msPerSecond, answeredAt: now,
	})
	return time.Duration(seconds * float64(time.Second))
}

// refusalReason returns the reason from the body of a node's own response.
func refusalReason(body io.Reader) string {
	var response struct {
		Error string `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, 1<<10)).Decode(&response); err != nil {
		return "unreadable"
	}
	return response.Error
}

func failureReason(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return "time_is_up"
	case errors.Is(err, errNotReached):
		return errNotReached.Error()
	default:
		return errTruncated.Error()
	}
}

// readAnswer reads and checks a response. A stream that resumes must continue with the next
// event.
func (s *sender) readAnswer(resp *http.Response) error {
	if s.kind.Mode != lab.ModeStream {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		s.recordEvent(time.Now())
		s.served = true
		if want := standin.PlainAnswer(resp.Request.URL.Path); string(body) != want {
			s.WrongAnswer = fmt.Sprintf("got %q, want %q", body, want)
		}
		return nil
	}
	lines := bufio.NewScanner(resp.Body)
	path := resp.Request.URL.Path
	for lines.Scan() {
		id, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		s.recordEvent(time.Now())
		s.eventsReceived++
		if want := strconv.Itoa(s.eventsReceived); id != want {
			s.WrongAnswer = fmt.Sprintf("%s: got event %s, want %s", path, id, want)
		}
	}
	if lines.Err() != nil || s.eventsReceived < s.wantedEvents {
		return errors.CombineErrors(lines.Err(), errTruncated)
	}
	s.served = true
	return nil
}

// recordEvent updates the latencies for an event, or for a response that is no stream.
func (s *sender) recordEvent(now time.Time) {
	if s.lastEventAt.IsZero() {
		s.FirstEventMS = float64(now.Sub(s.startedAt).Microseconds()) / msPerSecond
	} else {
		s.MaxPauseMS = max(s.MaxPauseMS, float64(now.Sub(s.lastEventAt).Microseconds())/msPerSecond)
	}
	s.lastEventAt = now
}

func (s *sender) outcome() lab.Outcome {
	switch {
	case s.served && s.inTime():
		s.FailureReason = ""
		return lab.InTime
	case s.served:
		s.FailureReason = ""
		return lab.Late
	case len(s.Refusals) > 0 && s.Refusals[len(s.Refusals)-1].Reason == s.FailureReason:
		return lab.Refused
	default:
		return lab.Failed
	}
}

func (s *sender) inTime() bool {
	return s.FirstEventMS <= float64(s.kind.FirstEventTargetMS) && (s.kind.EventGapTargetMS == 0 || s.MaxPauseMS <= float64(s.kind.EventGapTargetMS))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
