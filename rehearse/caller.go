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

// Request is one request of a caller, with all of its tries, and what became of it.
type Request struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	DataCentre string `json:"centre"`
	Account    int    `json:"account"`
	Subject    string `json:"subject"`
	Caller     string `json:"caller"`
	Tokens     int    `json:"tokens"`
	// MemoryTokens is what a stream takes of it at each layer, in tokens.
	MemoryTokens float64 `json:"memory"`
	StartS       float64 `json:"at_s"`
	// EndS is when it was over.
	EndS    float64     `json:"end_s"`
	Outcome lab.Outcome `json:"outcome"`
	// FirstEventMS is when the first event came, or the answer, counted from the first try;
	// MaxPauseMS is the longest pause between events.
	FirstEventMS float64 `json:"first_ms"`
	MaxPauseMS   float64 `json:"pause_ms"`
	// FailureReason is the last thing that stood against it; empty for one that was served.
	FailureReason string    `json:"why,omitempty"`
	Refusals      []Refusal `json:"refusals,omitempty"`
	WrongAnswer   string    `json:"wrong,omitempty"`
}

// Refusal is a try that a node has refused.
type Refusal struct {
	Reason       string    `json:"reason"`
	AtMS         int64     `json:"at_ms"`
	RemainingMS  int64     `json:"left_ms"`
	RetryAfterMS float64   `json:"back_ms"`
	at           time.Time // of the node's answer
}

// sender sends one request, with its tries.
type sender struct {
	*Request
	kind         lab.RequestKind
	wantedEvents int
	promptTokens int
	answerTokens int
	client       *client
	startedAt    time.Time
	// eventsReceived is how many events have come, and lastEventAt when the last did.
	eventsReceived int
	lastEventAt    time.Time
	served         bool
}

// errTruncated means that an answer has ended early, and errNotReached that a node could not be reached.
var (
	errTruncated  = errors.New("answer_cut")
	errNotReached = errors.New("node_not_reached")
)

// run sends the request until it is served, or its time or its tries are over.
func (a *sender) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.kind.DeadlineMS.Duration())
	defer cancel()
	for try := 0; ; try++ {
		back, again := a.attempt(ctx, try)
		if a.served || !again || try >= a.kind.MaxRetries {
			break
		}
		if a.remaining() <= back {
			break
		}
		sleep(ctx, back)
	}
	a.Outcome = a.outcome()
	a.EndS = a.StartS + time.Since(a.startedAt).Seconds()
}

func (a *sender) remaining() time.Duration {
	return a.kind.DeadlineMS.Duration() - time.Since(a.startedAt)
}

// attempt sends it once. It returns when the caller may come back, and whether it may at all.
func (a *sender) attempt(ctx context.Context, number int) (back time.Duration, again bool) {
	resp, err := a.send(ctx, number)
	if err != nil {
		a.FailureReason = failureReason(ctx, err)
		return 0, a.kind.Mode != lab.ModeOnce || errors.Is(err, errNotReached)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		err := a.readAnswer(resp)
		if err != nil {
			a.FailureReason = failureReason(ctx, err)
		}
		return 0, a.kind.Mode != lab.ModeOnce
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return a.recordRefusal(resp), true
	default:
		a.FailureReason = fmt.Sprintf("status_%d_%s", resp.StatusCode, refusalReason(resp.Body))
		return 0, a.kind.Mode != lab.ModeOnce
	}
}

func (a *sender) send(ctx context.Context, number int) (*http.Response, error) {
	method, body := http.MethodPost, io.Reader(strings.NewReader(a.ID))
	if a.kind.Mode == lab.ModeRead {
		method, body = http.MethodGet, nil
	}
	node := a.client.node(number)
	path := fmt.Sprintf("/%s/%s~%d", a.kind.Name, a.Subject, a.wantedEvents)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node.callerAddress+path, body)
	if err != nil {
		return nil, err
	}
	req.Host, req.GetBody = standin.DeploymentHost, nil
	req.Header = standin.StreamClient{
		ID: fmt.Sprintf("%s-%d", a.ID, number), Key: standin.DeploymentKey(a.Account), PromptID: a.Subject,
		RemainingMS: int(a.remaining().Milliseconds()), PromptTokens: a.promptTokens, AnswerTokens: a.answerTokens, LastEventID: a.eventsReceived,
	}.Header()
	resp, err := a.client.transport(number).RoundTrip(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, errors.Mark(err, errNotReached)
	}
	return resp, err
}

// recordRefusal notes a refusal, and returns when to come back.
func (a *sender) recordRefusal(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	now := time.Now()
	a.FailureReason = refusalReason(resp.Body)
	a.Refusals = append(a.Refusals, Refusal{
		Reason: a.FailureReason, AtMS: now.UnixMilli(), RemainingMS: a.remaining().Milliseconds(), RetryAfterMS: seconds * msPerSecond, at: now,
	})
	return time.Duration(seconds * float64(time.Second))
}

// refusalReason is the reason in an answer of a node's own.
func refusalReason(body io.Reader) string {
	var answer struct {
		Error string `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, 1<<10)).Decode(&answer); err != nil {
		return "unreadable"
	}
	return answer.Error
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

// readAnswer takes an answer in, and checks it.
func (a *sender) readAnswer(resp *http.Response) error {
	if a.kind.Mode != lab.ModeStream {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		a.recordEvent(time.Now())
		a.served = true
		if want := standin.PlainAnswer(resp.Request.URL.Path); string(body) != want {
			a.WrongAnswer = fmt.Sprintf("got %q, want %q", body, want)
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
		a.recordEvent(time.Now())
		a.eventsReceived++
		if want := strconv.Itoa(a.eventsReceived); id != want {
			a.WrongAnswer = fmt.Sprintf("%s: got event %s, want %s", path, id, want)
		}
	}
	if lines.Err() != nil || a.eventsReceived < a.wantedEvents {
		return errors.CombineErrors(lines.Err(), errTruncated)
	}
	a.served = true
	return nil
}

// recordEvent takes in that an event, or an answer, has come.
func (a *sender) recordEvent(now time.Time) {
	if a.lastEventAt.IsZero() {
		a.FirstEventMS = float64(now.Sub(a.startedAt).Microseconds()) / msPerSecond
	} else {
		a.MaxPauseMS = max(a.MaxPauseMS, float64(now.Sub(a.lastEventAt).Microseconds())/msPerSecond)
	}
	a.lastEventAt = now
}

func (a *sender) outcome() lab.Outcome {
	switch {
	case a.served && a.inTime():
		a.FailureReason = ""
		return lab.InTime
	case a.served:
		a.FailureReason = ""
		return lab.Late
	case len(a.Refusals) > 0 && a.Refusals[len(a.Refusals)-1].Reason == a.FailureReason:
		return lab.Refused
	default:
		return lab.Failed
	}
}

func (a *sender) inTime() bool {
	return a.FirstEventMS <= float64(a.kind.FirstEventTargetMS) && (a.kind.EventGapTargetMS == 0 || a.MaxPauseMS <= float64(a.kind.EventGapTargetMS))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
