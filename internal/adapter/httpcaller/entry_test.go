package httpcaller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// entryApplication implements only what the entry handler calls; any other
// method panics.
type entryApplication struct {
	Application
}

func (entryApplication) NewRequestID() string { return "router-1.1" }

func (entryApplication) Leaving() bool { return false }

func (entryApplication) EntryAddresses(string) ([]string, time.Duration) {
	return []string{"127.0.0.1:7101"}, time.Second
}

// Guards against a router that lists its own address before it has
// synchronised: the caller would use that address for as long as the answer is
// valid and be refused there. The router must answer 503 with Retry-After.
func TestEntryRefusedBeforeSynchronisation(t *testing.T) {
	synced := false
	h := New(Options{Application: entryApplication{}, Synced: func() bool { return synced }})
	request := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/entry?organisation=o&model=m", nil))
		return w
	}
	if w := request(); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Fatalf("before synchronisation: status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	synced = true
	if w := request(); w.Code != http.StatusOK {
		t.Fatalf("after synchronisation: status %d", w.Code)
	}
}
