package standin

import (
	"io"
	"net/http"
)

func (p *Platform) handleGetObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) handlePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = data
	p.mu.Unlock()
}
