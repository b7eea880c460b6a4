package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionHeaders concern one connection only and are never passed on
// (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// passedOn returns the headers that go on to the other side.
func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}
