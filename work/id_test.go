package work_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hoistjunction/hoistjunction/work"
)

func id(method, target, body, account string) work.ID {
	return work.FromRequest(httptest.NewRequest(method, target, nil), []byte(body)).ForAccount(account)
}

func TestID(t *testing.T) {
	const target = "http://a.example/b/c?d=1"
	base := id(http.MethodPost, target, "x", "clinic")
	tests := []struct {
		name string
		id   work.ID
		same bool
	}{
		{"again", id(http.MethodPost, target, "x", "clinic"), true},
		{"method", id(http.MethodGet, target, "x", "clinic"), false},
		{"host", id(http.MethodPost, "http://e.example/b/c?d=1", "x", "clinic"), false},
		{"path", id(http.MethodPost, "http://a.example/b?d=1", "x", "clinic"), false},
		{"query", id(http.MethodPost, "http://a.example/b/c?d=2", "x", "clinic"), false},
		{"escaped path", id(http.MethodPost, "http://a.example/b%2Fc?d=1", "x", "clinic"), false},
		{"body", id(http.MethodPost, target, "y", "clinic"), false},
		{"no body", id(http.MethodPost, target, "", "clinic"), false},
		{"account", id(http.MethodPost, target, "x", "radio"), false},
	}
	for _, tt := range tests {
		if got := tt.id == base; got != tt.same {
			t.Errorf("%s: got the same name %v, want %v", tt.name, got, tt.same)
		}
	}
	if got, want := (work.ID{}).String(), ""; got != want {
		t.Errorf("got %q for none, want %q", got, want)
	}
}

// BenchmarkID measures what naming costs each request, with the body of a prompt of 1,000
// tokens.
func BenchmarkID(b *testing.B) {
	r := httptest.NewRequest(http.MethodPost, "http://a.example/b/c", nil)
	body := make([]byte, 4096)
	for b.Loop() {
		_ = work.FromRequest(r, body).ForAccount("clinic")
	}
}
