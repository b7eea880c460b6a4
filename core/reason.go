package core

import "net/http"

// Reason says why a request ended as it did.
type Reason uint8

// The reasons. Every way in which a request can be refused, lost or failed is
// one of these.
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

// reasonInfo describes a reason. NotRun says why a request refused for it has
// not run; it is empty for reasons under which "not run" is never said. Only
// refuse says it, and it looks here.
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
	ReasonNotReady:      {name: "not_ready", status: http.StatusServiceUnavailable, notExecuted: "no configuration yet: it was not looked at"},
	ReasonOverloaded:    {name: "overloaded", status: http.StatusServiceUnavailable, notExecuted: "refused before it was queued"},
	ReasonAccountLimit:  {name: "account_limit", status: http.StatusTooManyRequests, notExecuted: "refused before it was queued"},
	ReasonExpired:       {name: "expired", status: http.StatusServiceUnavailable, notExecuted: "taken from the queue before it was dispatched"},
	ReasonNoUpstream:    {name: "no_upstream", status: http.StatusServiceUnavailable, notExecuted: "there was nowhere to send it"},
	ReasonNotSent:       {name: "not_sent", status: http.StatusServiceUnavailable, notExecuted: "no byte of it left this node, or the engine refused before it began"},
	ReasonStoreDown:     {name: "store_down", status: http.StatusServiceUnavailable, notExecuted: "its claim was not granted, so it was not dispatched"},
	ReasonDraining:      {name: "draining", status: http.StatusServiceUnavailable, notExecuted: "the node is stopping: it was not looked at"},
	ReasonShed:          {name: "shed", status: http.StatusServiceUnavailable, notExecuted: "it never reached the decisions: the ring before them was full"},
	ReasonCanceled:      {name: "canceled", status: 499},
	ReasonDeadline:      {name: "deadline", status: http.StatusGatewayTimeout},
	ReasonUpstreamLost:  {name: "upstream_lost", status: http.StatusBadGateway},
	ReasonUpstreamError: {name: "upstream_error", status: http.StatusBadGateway},
	ReasonOwnerGone:     {name: "owner_gone", status: http.StatusBadGateway, notExecuted: "the owner of its key could not be reached, and the caller had not tried before"},
	ReasonAnswerGone:    {name: "answer_gone", status: http.StatusConflict},
}

// String returns the name that callers see.
func (r Reason) String() string { return reasons[r].name }

// HTTPStatus returns the status code that goes with a refusal or failure.
func (r Reason) HTTPStatus() int { return reasons[r].status }

// ParseReason is the inverse of String. An unknown name gives ReasonNone.
func ParseReason(name string) Reason {
	for r, info := range reasons {
		if info.name == name {
			return Reason(r)
		}
	}
	return ReasonNone
}
