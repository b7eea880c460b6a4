package core

import "net/http"

// Reason is the cause of a request's outcome.
type Reason uint8

// The reasons. Every refusal and failure of a request has one of them.
const (
	ReasonNone Reason = iota
	ReasonBadRequest
	ReasonUnauthorized
	ReasonNoRoute
	ReasonKeyReused
	ReasonNotReady
	ReasonOverloaded
	ReasonAccountLimit
	ReasonExpired
	ReasonNoUpstream
	ReasonNotSent
	ReasonStoreDown
	ReasonDraining
	ReasonShed
	ReasonCanceled
	ReasonDeadline
	ReasonUpstreamLost
	ReasonUpstreamError
	ReasonOwnerGone
	ReasonAnswerGone
	reasonCount
)

// reasonInfo describes a reason. notExecuted states why a request refused for the reason has not
// been executed. It is empty for reasons that must not lead to the outcome NotExecuted; refuse and
// reject check this.
type reasonInfo struct {
	name        string
	status      int
	notExecuted string
}

var reasons = [reasonCount]reasonInfo{
	ReasonNone:          {name: "none", status: http.StatusOK},
	ReasonBadRequest:    {name: "bad_request", status: http.StatusBadRequest},
	ReasonUnauthorized:  {name: "unauthorized", status: http.StatusUnauthorized},
	ReasonNoRoute:       {name: "no_route", status: http.StatusNotFound},
	ReasonKeyReused:     {name: "key_reused", status: http.StatusUnprocessableEntity},
	ReasonNotReady:      {name: "not_ready", status: http.StatusServiceUnavailable, notExecuted: "no configuration was loaded yet, so the request was not read"},
	ReasonOverloaded:    {name: "overloaded", status: http.StatusServiceUnavailable, notExecuted: "the request was refused before it was queued"},
	ReasonAccountLimit:  {name: "account_limit", status: http.StatusTooManyRequests, notExecuted: "the request was refused before it was queued"},
	ReasonExpired:       {name: "expired", status: http.StatusServiceUnavailable, notExecuted: "the request was removed from the queue before it was dispatched"},
	ReasonNoUpstream:    {name: "no_upstream", status: http.StatusServiceUnavailable, notExecuted: "no upstream existed for the route"},
	ReasonNotSent:       {name: "not_sent", status: http.StatusServiceUnavailable, notExecuted: "no byte of the request left this node, or the engine refused it before executing it"},
	ReasonStoreDown:     {name: "store_down", status: http.StatusServiceUnavailable, notExecuted: "no claim on its key was granted, so the request was not dispatched"},
	ReasonDraining:      {name: "draining", status: http.StatusServiceUnavailable, notExecuted: "the node is stopping, so the request was not read"},
	ReasonShed:          {name: "shed", status: http.StatusServiceUnavailable, notExecuted: "the ring buffer in front of the model was full, so the request never reached the model"},
	ReasonCanceled:      {name: "canceled", status: 499},
	ReasonDeadline:      {name: "deadline", status: http.StatusGatewayTimeout},
	ReasonUpstreamLost:  {name: "upstream_lost", status: http.StatusBadGateway},
	ReasonUpstreamError: {name: "upstream_error", status: http.StatusBadGateway},
	ReasonOwnerGone:     {name: "owner_gone", status: http.StatusBadGateway, notExecuted: "the owner of its key could not be reached, and the client had not tried before"},
	ReasonAnswerGone:    {name: "answer_gone", status: http.StatusConflict},
}

// String returns the name that clients receive.
func (r Reason) String() string { return reasons[r].name }

// HTTPStatus returns the HTTP status code of a refusal or failure with this reason.
func (r Reason) HTTPStatus() int { return reasons[r].status }

// ParseReason is the inverse of String. It returns ReasonNone for an unknown name.
func ParseReason(name string) Reason {
	for r, info := range reasons {
		if info.name == name {
			return Reason(r)
		}
	}
	return ReasonNone
}
