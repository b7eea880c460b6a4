package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwardwire"
	"github.com/hoistjunction/hoistjunction/internal/endless"
)

const (
	// maxHeadRead bounds what is read of a head without end: its limit and a buffer more.
	maxHeadRead = 64 << 10
	// maxAhead bounds what the node reads of a body before its caller does: its own buffers, and those
	// of the caller's connection.
	maxAhead = 16 << 20
	// trickle is the pause between the parts of a slow answer.
	trickle = 2 * time.Millisecond
	// endlessTimeout is the time limit of the routes, in ms.
	endlessTimeout = 1500
)

// endlessCase is an answer without end, and what must come of the request.
type endlessCase struct {
	name   string
	answer endless.Answer
	// maxRead bounds what is read from one connection; zero for a body that is passed on.
	maxRead int64
	// served states which requests another upstream serves.
	served servedElsewhere
}

// servedElsewhere states which requests another upstream serves after an answer without an end.
type servedElsewhere uint8

const (
	noRequests servedElsewhere = iota
	// requestsInTime are those that may be repeated, if the node gives up on the slow answer while there
	// is time left for another one.
	requestsInTime
	repeatableRequests
	allRequests
)

const sealedHead = headerSeal + ": 1\r\nContent-Type: text/plain\r\n"

// endlessHeadCases returns answers whose head has no end.
func endlessHeadCases() []endlessCase {
	return []endlessCase{
		{"status line", endless.Answer{Head: "HTTP/1.1 200 ", Repeat: "O"}, maxHeadRead, repeatableRequests},
		{"no status line", endless.Answer{Repeat: "\x00"}, maxHeadRead, repeatableRequests},
		{"header line", endless.Answer{Head: "HTTP/1.1 200 OK\r\n" + sealedHead + "X: ", Repeat: "x"}, maxHeadRead, repeatableRequests},
		{"header lines", endless.Answer{Head: "HTTP/1.1 200 OK\r\n" + sealedHead, Repeat: "X-Line: x\r\n"}, maxHeadRead, repeatableRequests},
		{"answers 1xx", endless.Answer{Repeat: "HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n"}, maxHeadRead, repeatableRequests},
		{"slow header lines", endless.Answer{Head: "HTTP/1.1 200 OK\r\n" + sealedHead, Repeat: "X-Line: x\r\n", Pause: trickle}, maxHeadRead, requestsInTime},
		{"slow answers 1xx", endless.Answer{Repeat: "HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n", Pause: trickle}, maxHeadRead, requestsInTime},
	}
}

// endlessBodyCases returns answers whose body has no end.
func endlessBodyCases() []endlessCase {
	head := "HTTP/1.1 200 OK\r\n" + sealedHead
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
	const maxTrailerRead = maxHeadRead
	return []endlessCase{
		{"body with length", endless.Answer{Head: head + "Content-Length: 99999999999\r\n\r\n", Repeat: "x"}, 0, noRequests},
		{"body without length", endless.Answer{Head: head + "\r\n", Repeat: "x"}, 0, noRequests},
		{"slow body without length", endless.Answer{Head: head + "\r\n", Repeat: "x", Pause: trickle}, maxBufferedAnswer, requestsInTime},
		{"chunks", endless.Answer{Head: chunked, Repeat: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"}, 0, noRequests},
		{"one chunk", endless.Answer{Head: chunked + "fffffffffff\r\n", Repeat: "x"}, 0, noRequests},
		{"chunk extension", endless.Answer{Head: chunked + "1;", Repeat: "x"}, maxHeadRead, repeatableRequests},
		{"chunk extensions", endless.Answer{Head: chunked, Repeat: "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n"}, maxHeadRead, repeatableRequests},
		{"trailer", endless.Answer{Head: chunked + "0\r\nX: ", Repeat: "x"}, maxTrailerRead, repeatableRequests},
		{"trailers", endless.Answer{Head: chunked + "0\r\n", Repeat: "X: x\r\n"}, maxTrailerRead, repeatableRequests},
		{"slow trailers", endless.Answer{Head: chunked + "0\r\n", Repeat: "X: x\r\n", Pause: trickle}, maxTrailerRead, requestsInTime},
		{"refusal", endless.Answer{Head: "HTTP/1.1 503 Service Unavailable\r\n\r\n", Repeat: "x"}, maxBufferedAnswer, allRequests},
	}
}

// endlessFailureCases returns failures of an upstream whose body has no end. They are passed on to the
// caller of a request that may be executed once.
func endlessFailureCases() []endlessCase {
	head := "HTTP/1.1 500 Internal Server Error\r\n" + sealedHead
	return []endlessCase{
		{"failure with length", endless.Answer{Head: head + "Content-Length: 99999999999\r\n\r\n", Repeat: "x"}, 2 * maxBufferedAnswer, repeatableRequests},
		{"failure without length", endless.Answer{Head: head + "\r\n", Repeat: "x"}, 2 * maxBufferedAnswer, repeatableRequests},
		{"failure in chunks", endless.Answer{Head: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"}, 2 * maxBufferedAnswer, repeatableRequests},
	}
}

// endlessProtocolCases returns answers that end HTTP on the connection.
func endlessProtocolCases() []endlessCase {
	const head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n" + sealedHead + "\r\n"
	return []endlessCase{
		{"switched protocol", endless.Answer{Head: head, Repeat: "x"}, maxHeadRead, repeatableRequests},
		{"slow switched protocol", endless.Answer{Head: head, Repeat: "x", Pause: trickle}, maxBufferedAnswer, repeatableRequests},
		{"switched protocol that stays open", endless.Answer{Head: head}, maxBufferedAnswer, repeatableRequests},
	}
}

const streamHead = "HTTP/1.1 200 OK\r\n" + headerSeal + ": 1\r\nContent-Type: text/event-stream\r\n\r\n"

// endlessEventCases returns streams without an end.
func endlessEventCases() []endlessCase {
	return []endlessCase{
		{"event", endless.Answer{Head: streamHead + "id: 1\ndata: ", Repeat: "x"}, 2 * maxEventBytes, repeatableRequests},
		{"event after others", endless.Answer{Head: streamHead + eventsText(0, 2) + "data: ", Repeat: "x"}, 2 * maxEventBytes, repeatableRequests},
		{"lines of an event", endless.Answer{Head: streamHead, Repeat: "data: x\n"}, 2 * maxEventBytes, repeatableRequests},
		{"events", endless.Answer{Head: streamHead, Repeat: "data: x\n\n"}, 0, noRequests},
	}
}

// endlessBlankCases returns streams of lines that belong to no event.
func endlessBlankCases() []endlessCase {
	return []endlessCase{
		{"empty lines", endless.Answer{Head: streamHead, Repeat: "\n"}, 2 * maxEventBytes, repeatableRequests},
		{"empty lines after events", endless.Answer{Head: streamHead + eventsText(0, 2), Repeat: "\r\n"}, 2 * maxEventBytes, repeatableRequests},
		{"comments", endless.Answer{Head: streamHead, Repeat: ": x\n\n"}, 2 * maxEventBytes, repeatableRequests},
	}
}

// endlessRelay is a relay whose first upstream answers without end, and the others as they should.
type endlessRelay struct {
	server  *endless.Server
	meter   *endless.Meter
	address string
	logs    *observer.ObservedLogs
}

func newEndlessRelay(t *testing.T, answer endless.Answer, then outcome) *endlessRelay {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	server := endless.Handler(t, answer, 1, &scriptedUpstreams{script: []outcome{then}})
	meter := &endless.Meter{}
	r, address := newDialingTestRelay(t, server, zap.New(core), meter.Dialer())
	r.SetCatalog(testCatalogWithin(2, endlessTimeout), r.clock.Now())
	return &endlessRelay{server: server, meter: meter, address: address, logs: logs}
}

// check sends a request and checks what has become of it and of the endless answer.
func (e *endlessRelay) check(t *testing.T, c endlessCase, path, whole string, mayRepeat bool) {
	t.Helper()
	var read int64
	got := endless.Await(t, func() (r reply) {
		r, read = askSlowly(t, e.address, path)
		return r
	})
	complete := got.err == nil && got.header.Get(headerSeal) != ""
	switch mayComplete := c.served == allRequests || c.served >= requestsInTime && mayRepeat; {
	case complete && mayComplete && got.status == http.StatusOK && got.body == whole:
	case complete:
		t.Errorf("got a complete answer with status %d and %d bytes, want none but that of another upstream", got.status, len(got.body))
	case c.served == allRequests || c.served == repeatableRequests && mayRepeat:
		t.Errorf("got status %d, error %v and %d bytes, want the answer of another upstream", got.status, got.err, len(got.body))
	case got.err == nil && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout && got.status != http.StatusServiceUnavailable:
		t.Errorf("got status %d, want a failure of the node", got.status)
	}
	e.server.AwaitClosed(t, 1)
	switch most := e.meter.Most(); {
	case c.maxRead > 0 && most > c.maxRead:
		t.Errorf("got %d bytes read from one connection, want at most %d", most, c.maxRead)
	case c.maxRead == 0 && most-read > maxAhead:
		t.Errorf("got %d bytes read that the caller has not received, want at most %d", most-read, maxAhead)
	}
	if failed := e.logs.FilterMessage("attempt_failed").Len(); c.served >= repeatableRequests && failed == 0 {
		t.Error("got no failed attempt, want the endless answer to count as one")
	}
}

// askSlowly sends a request and reads its answer more slowly than the upstream sends it. It keeps the
// beginning of the body, and returns how much it has read.
func askSlowly(t *testing.T, address, path string) (r reply, read int64) {
	t.Helper()
	const (
		partSize  = 64 << 10
		partPause = 5 * time.Millisecond
	)
	resp, err := http.DefaultTransport.RoundTrip(newRequest(t, address, path))
	if err != nil {
		return reply{err: err}, 0
	}
	defer func() { _ = resp.Body.Close() }()
	r = reply{status: resp.StatusCode, header: resp.Header}
	for part := make([]byte, partSize); r.err == nil; {
		var n int
		n, r.err = resp.Body.Read(part)
		if read += int64(n); read <= maxBufferedAnswer {
			r.body += string(part[:n])
		}
		if r.err == nil {
			time.Sleep(partPause)
		}
	}
	if errors.Is(r.err, io.EOF) {
		r.err = nil
	}
	return r, read
}

func checkEndlessAnswers(t *testing.T, cases []endlessCase) {
	t.Helper()
	for _, c := range cases {
		for path, mayRepeat := range map[string]bool{"/read/a": true, "/once/a": false} {
			t.Run(c.name+", "+path, func(t *testing.T) {
				t.Parallel()
				newEndlessRelay(t, c.answer, plainTextAnswer).check(t, c, path, wholeBody(plainTextAnswer, 1), mayRepeat)
			})
		}
	}
}

func checkEndlessStreams(t *testing.T, cases []endlessCase) {
	t.Helper()
	for _, c := range cases {
		for path, mayRepeat := range map[string]bool{"/write/a": true, "/tell/a": false} {
			t.Run(c.name+", "+path, func(t *testing.T) {
				t.Parallel()
				newEndlessRelay(t, c.answer, wholeStream).check(t, c, path, eventsText(0, lastStreamEvent), mayRepeat)
			})
		}
	}
}

// Guards against a head without end of an upstream that costs memory without bound, or the request.
func TestEndlessHeads(t *testing.T) { checkEndlessAnswers(t, endlessHeadCases()) }

// Guards against a body without end that costs memory without bound, or reaches the caller as a complete
// answer.
func TestEndlessBodies(t *testing.T) { checkEndlessAnswers(t, endlessBodyCases()) }

// Guards against a failure of an upstream whose body has no end: it was passed on as it came, so that no
// other upstream could serve the request.
func TestEndlessFailures(t *testing.T) {
	for _, c := range endlessFailureCases() {
		t.Run(c.name+", /read/a", func(t *testing.T) {
			t.Parallel()
			newEndlessRelay(t, c.answer, plainTextAnswer).check(t, c, "/read/a", wholeBody(plainTextAnswer, 1), true)
		})
		t.Run(c.name+", /once/a", func(t *testing.T) {
			t.Parallel()
			passedOn := endlessCase{name: c.name, answer: c.answer}
			newEndlessRelay(t, c.answer, plainTextAnswer).check(t, passedOn, "/once/a", "", false)
		})
	}
}

// Guards against an upstream that ends HTTP on the connection: net/http hands such a connection over to
// the caller, and no longer closes it at the end of the attempt.
func TestSwitchedProtocols(t *testing.T) { checkEndlessAnswers(t, endlessProtocolCases()) }

// Guards against a stream without end that costs memory without bound, or looks complete to its caller.
func TestEndlessStreams(t *testing.T) { checkEndlessStreams(t, endlessEventCases()) }

// Guards against lines between events that pass for events: without end, they hold a request until its
// time is up, and a single one makes a stream impossible to resume.
func TestEndlessLinesBetweenEvents(t *testing.T) { checkEndlessStreams(t, endlessBlankCases()) }

// described returns the rest of a head with what a node says of its answer.
func described(t *testing.T, answer forwardwire.Answer) string {
	t.Helper()
	header := http.Header{}
	if err := forwardwire.SetAnswer(header, answer); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := header.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String() + "\r\n"
}

// endlessNodeCases returns answers of another node without an end. What the node says of its answer is
// in the last header.
func endlessNodeCases(t *testing.T) []endlessCase {
	t.Helper()
	answered := "HTTP/1.1 200 OK\r\n" + sealedHead + described(t, forwardwire.Answer{Outcome: forwardwire.Answered, Upstream: fleet.IncarnationByID("u0")})
	refused := "HTTP/1.1 503 Service Unavailable\r\n" + described(t, forwardwire.Answer{Outcome: forwardwire.Refused, Reason: "no_capacity"})
	failed := "HTTP/1.1 502 Bad Gateway\r\n" + described(t, forwardwire.Answer{Outcome: forwardwire.Failed, Reason: "answer_lost"})
	return []endlessCase{
		{"body of an answer", endless.Answer{Head: answered, Repeat: "x"}, 0, noRequests},
		{"slow body of an answer", endless.Answer{Head: answered, Repeat: "x", Pause: trickle}, maxBufferedAnswer, requestsInTime},
		{"body of a refusal", endless.Answer{Head: refused, Repeat: "x"}, maxHeadRead, allRequests},
		{"body of a failure", endless.Answer{Head: failed, Repeat: "x"}, maxHeadRead, repeatableRequests},
		{"body without a description", endless.Answer{Head: "HTTP/1.1 200 OK\r\n" + sealedHead + "\r\n", Repeat: "x"}, maxHeadRead, repeatableRequests},
	}
}

// Guards against an answer without end of another node that costs memory without bound, reaches the caller
// as a complete answer, or keeps a third node from serving the request.
func TestEndlessAnswersOfNodes(t *testing.T) {
	for _, c := range append(append(endlessNodeCases(t), endlessHeadCases()...), endlessProtocolCases()...) {
		for path, mayRepeat := range map[string]bool{"/read/a": true, "/once/a": false} {
			t.Run(c.name+", "+path, func(t *testing.T) {
				t.Parallel()
				newEndlessNode(t, c.answer, plainTextAnswer).check(t, c, path, wholeBody(plainTextAnswer, 1), mayRepeat)
			})
		}
	}
}

// Guards against a stream without end of another node that costs memory without bound, looks complete to
// its caller, or keeps a third node from taking the stream up.
func TestEndlessStreamsOfNodes(t *testing.T) {
	answered := described(t, forwardwire.Answer{Outcome: forwardwire.Answered, Upstream: fleet.IncarnationByID("u0")})
	for _, c := range append(endlessEventCases(), endlessBlankCases()...) {
		c.answer.Head = strings.Replace(c.answer.Head, "\r\n\r\n", "\r\n"+answered, 1)
		for path, mayRepeat := range map[string]bool{"/write/a": true, "/tell/a": false} {
			t.Run(c.name+", "+path, func(t *testing.T) {
				t.Parallel()
				newEndlessNode(t, c.answer, wholeStream).check(t, c, path, eventsText(0, lastStreamEvent), mayRepeat)
			})
		}
	}
}

// newEndlessNode returns a relay that reaches no upstream, and passes its requests on to nodes. The first
// of them answers without end, and the others as they should.
func newEndlessNode(t *testing.T, answer endless.Answer, then outcome) *endlessRelay {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	server := endless.Handler(t, answer, 1, newServingNode(t, &scriptedUpstreams{script: []outcome{then}}))
	meter := &endless.Meter{}
	return &endlessRelay{server: server, meter: meter, logs: logs, address: newDialingCutRelay(t, testCatalogWithin(1, endlessTimeout), zap.New(core), meter.Dialer(), server, server)}
}
