package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/dispatch"
)

// readEvents forwards the events of a stream. An upstream that aborts the stream resets the connection,
// which is a read error, and a stream that ends inside an event is an error too. No event is marked as the
// last one, so confirmEnd judges an end between two events that nothing but the end of the connection
// marks. Such an end before the first event is no complete stream, unless the stream resumes another one
// after its last event.
func (a *attempt) readEvents(ctx context.Context, resp *http.Response) {
	events := newEventReader(resp.Body)
	head := resp
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			a.endEvents(ctx, resp, attemptUpdate{head: head, data: ev.raw, end: true})
			return
		}
		if err != nil {
			a.fail(ctx, dispatch.CauseUnknown, "", err)
			return
		}
		if !a.emit(ctx, attemptUpdate{head: head, event: ev}) {
			return
		}
		head = nil
	}
}

// endEvents ends a stream with its last update. The head of the update is nil if an event has been
// forwarded.
func (a *attempt) endEvents(ctx context.Context, resp *http.Response, last attemptUpdate) {
	if last.head != nil && !a.resuming && endsWithConnection(resp) {
		a.fail(ctx, dispatch.CauseUnknown, "", errNoEvent)
		return
	}
	a.endBody(ctx, resp, last)
}

// readBuffered buffers an answer until it is complete, up to maxBufferedAnswer.
func (a *attempt) readBuffered(ctx context.Context, resp *http.Response) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer))
	if err != nil {
		a.fail(ctx, dispatch.CauseUnknown, "", err)
		return
	}
	if len(data) < maxBufferedAnswer {
		a.endBody(ctx, resp, attemptUpdate{head: resp, data: data, end: true})
		return
	}
	if resp.StatusCode >= http.StatusInternalServerError && a.cmd.Route.MayRepeat() {
		// Forwarding a failure as it comes would keep another upstream from serving the request.
		a.fail(ctx, dispatch.CauseUpstreamFailed, "", errors.Wrapf(errFailureTooLong, "status %d", resp.StatusCode))
		return
	}
	if a.emit(ctx, attemptUpdate{head: resp, data: data}) {
		a.readRemaining(ctx, resp)
	}
}

// endBody ends an answer that is no event stream with its last update, or fails the attempt if the answer
// may be incomplete.
func (a *attempt) endBody(ctx context.Context, resp *http.Response, last attemptUpdate) {
	if faulty, err := a.confirmEnd(ctx, resp); err != nil {
		a.fail(ctx, dispatch.CauseUnknown, faulty, err)
		return
	}
	a.emit(ctx, last)
}
