package node_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/hoistjunction/hoistjunction/standin"
)

// Thousands of entries of other writers lie beside those of a few upstreams, and come and go
// with them: the node serves as if they were not there.
func TestServesBesideEntriesOfOtherWriters(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	const many = 2000
	for i := range many {
		s.store.Put("servers", fmt.Sprintf("x%d", i), []byte(`{"service":"desk","slots":"6"}`))
	}
	n := s.startNode("n1", s.storeAddress)
	n.awaitServing(t)
	for i := range 20 {
		s.store.Put("servers", fmt.Sprintf("x%d", i), fmt.Appendf(nil, `{"state":%d}`, i))
		s.store.Remove("servers", fmt.Sprintf("x%d", many-1-i))
		id := fmt.Sprint("s", i)
		if got := n.do(http.MethodPost, "/write/"+id, id, "k1"); got.status != http.StatusOK || got.body != wholeStream("/write/"+id) {
			t.Errorf("got status %d, %v, want a whole stream", got.status, got.err)
		}
		if got := n.do(http.MethodPost, "/once/a", "o"+id, "k2"); got.status != http.StatusOK || got.body != standin.PlainAnswer("/once/a") {
			t.Errorf("got status %d, %v, want the desk's answer", got.status, got.err)
		}
	}
}
