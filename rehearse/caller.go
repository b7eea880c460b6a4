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
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Centre  string `json:"centre"`
	Account int    `json:"account"`
	Subject string `json:"subject"`
	Caller  string `json:"caller"`
	Tokens  int    `json:"tokens"`
	// Memory is what a stream takes of it at each layer, in tokens.
	Memory float64 `json:"memory"`
	At     float64 `json:"at_s"`
	// EndS is when it was over.
	EndS    float64     `json:"end_s"`
	Outcome lab.Outcome `json:"outcome"`
	// FirstMS is when the first event came, or the answer, counted from the first try;
	// PauseMS is the longest pause between events.
	FirstMS float64 `json:"first_ms"`
	PauseMS float64 `json:"pause_ms"`
	// Why is the last thing that stood against it; empty for one that was served.
	Why      string    `json:"why,omitempty"`
	Refusals []Refusal `json:"refusals,omitempty"`
	Wrong    string    `json:"wrong,omitempty"`
}

// Refusal is a try that a node has refused.
type Refusal struct {
	Reason string    `json:"reason"`
	AtMS   int64     `json:"at_ms"`
	LeftMS int64     `json:"left_ms"`
	BackMS float64   `json:"back_ms"`
	at     time.Time // of the node's answer
}

// asker sends one request, with its tries.
type asker struct {
	*Request
	kind   lab.RequestKind
	events int
	prompt int
	answer int
	client *client
	began  time.Time
	// got is how many events have come, and lastEvent when the last did.
	got       int
	lastEvent time.Time
	served    bool
}

// errCut means that an answer has ended early, and errNotAsked that a node could not be reached.
var (
	errCut      = errors.New("answer_cut")
	errNotAsked = errors.New("node_not_reached")
)

// run sends the request until it is served, or its time or its tries are over.
func (a *asker) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.kind.DeadlineMS.Duration())
	defer cancel()
	for try := 0; ; try++ {
		back, again := a.try(ctx, try)
		if a.served || !again || try >= a.kind.MaxRetries {
			break
		}
		if a.left() <= back {
			break
		}
		sleep(ctx, back)
	}
	a.Outcome = a.outcome()
	a.EndS = a.At + time.Since(a.began).Seconds()
}

func (a *asker) left() time.Duration { return a.kind.DeadlineMS.Duration() - time.Since(a.began) }

// try sends it once. It returns when the caller may come back, and whether it may at all.
func (a *asker) try(ctx context.Context, number int) (back time.Duration, again bool) {
	resp, err := a.send(ctx, number)
	if err != nil {
		a.Why = reasonOf(ctx, err)
		return 0, a.kind.Mode != lab.ModeOnce || errors.Is(err, errNotAsked)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		err := a.read(resp)
		if err != nil {
			a.Why = reasonOf(ctx, err)
		}
		return 0, a.kind.Mode != lab.ModeOnce
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return a.refused(resp), true
	default:
		a.Why = fmt.Sprintf("status_%d_%s", resp.StatusCode, reasonIn(resp.Body))
		return 0, a.kind.Mode != lab.ModeOnce
	}
}

func (a *asker) send(ctx context.Context, number int) (*http.Response, error) {
	method, body := http.MethodPost, io.Reader(strings.NewReader(a.ID))
	if a.kind.Mode == lab.ModeRead {
		method, body = http.MethodGet, nil
	}
	node := a.client.node(number)
	path := fmt.Sprintf("/%s/%s~%d", a.kind.Name, a.Subject, a.events)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node.caller+path, body)
	if err != nil {
		return nil, err
	}
	req.Host, req.GetBody = standin.DeploymentHost, nil
	req.Header = standin.StreamCaller{
		ID: fmt.Sprintf("%s-%d", a.ID, number), Key: standin.DeploymentKey(a.Account), Subject: a.Subject,
		RemainingMS: int(a.left().Milliseconds()), Prompt: a.prompt, Answer: a.answer, LastEvent: a.got,
	}.Header()
	resp, err := a.client.transport(number).RoundTrip(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, errors.Mark(err, errNotAsked)
	}
	return resp, err
}

// refused notes a refusal, and returns when to come back.
func (a *asker) refused(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	now := time.Now()
	a.Why = reasonIn(resp.Body)
	a.Refusals = append(a.Refusals, Refusal{
		Reason: a.Why, AtMS: now.UnixMilli(), LeftMS: a.left().Milliseconds(), BackMS: seconds * msPerSecond, at: now,
	})
	return time.Duration(seconds * float64(time.Second))
}

// reasonIn is the reason in an answer of a node's own.
func reasonIn(body io.Reader) string {
	var answer struct {
		Error string `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, 1<<10)).Decode(&answer); err != nil {
		return "unreadable"
	}
	return answer.Error
}

func reasonOf(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return "time_is_up"
	case errors.Is(err, errNotAsked):
		return errNotAsked.Error()
	default:
		return errCut.Error()
	}
}

// read takes an answer in, and checks it.
func (a *asker) read(resp *http.Response) error {
	if a.kind.Mode != lab.ModeStream {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		a.note(time.Now())
		a.served = true
		if want := standin.DeskAnswer(resp.Request.URL.Path); string(body) != want {
			a.Wrong = fmt.Sprintf("got %q, want %q", body, want)
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
		a.note(time.Now())
		a.got++
		if want := strconv.Itoa(a.got); id != want {
			a.Wrong = fmt.Sprintf("%s: got event %s, want %s", path, id, want)
		}
	}
	if lines.Err() != nil || a.got < a.events {
		return errors.CombineErrors(lines.Err(), errCut)
	}
	a.served = true
	return nil
}

// note takes in that an event, or an answer, has come.
func (a *asker) note(now time.Time) {
	if a.lastEvent.IsZero() {
		a.FirstMS = float64(now.Sub(a.began).Microseconds()) / msPerSecond
	} else {
		a.PauseMS = max(a.PauseMS, float64(now.Sub(a.lastEvent).Microseconds())/msPerSecond)
	}
	a.lastEvent = now
}

func (a *asker) outcome() lab.Outcome {
	switch {
	case a.served && a.inTime():
		a.Why = ""
		return lab.InTime
	case a.served:
		a.Why = ""
		return lab.Late
	case len(a.Refusals) > 0 && a.Refusals[len(a.Refusals)-1].Reason == a.Why:
		return lab.Refused
	default:
		return lab.Failed
	}
}

func (a *asker) inTime() bool {
	return a.FirstMS <= float64(a.kind.FirstEventTargetMS) && (a.kind.EventGapTargetMS == 0 || a.PauseMS <= float64(a.kind.EventGapTargetMS))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
