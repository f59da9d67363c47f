package engine

import (
	"net/http"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// Faults are set by PUT /standin/faults. Faults of single frames and of the end
// of a stream apply only to the connection that started the generation, so that
// resuming the generation gets all frames.
type Faults struct {
	// Stall holds back the frames of all connections, while the engine
	// continues to generate tokens.
	Stall bool `json:"stall"`
	// CutAfterTokens aborts the connection after this many tokens; 0 never
	// does.
	CutAfterTokens int `json:"cut_after_tokens"`
	// DropFrame omits the frame with this index; 0 omits none.
	DropFrame int `json:"drop_frame"`
	// DuplicateFrame sends the frame with this index twice; 0 duplicates none.
	DuplicateFrame int `json:"duplicate_frame"`
	// CrossGeneration injects frames of another generation.
	CrossGeneration bool `json:"cross_generation"`
	// Refuse rejects each start with status 503.
	Refuse  bool `json:"refuse"`
	Leaving bool `json:"leaving"`
	// SlowFactor multiplies the duration of each step; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// EarlyClose closes the stream cleanly, but without its final frame.
	EarlyClose      bool  `json:"early_close"`
	ReportLagMillis int64 `json:"report_lag_ms"`
}

// ReclaimRequest is the body of POST /standin/reclaim.
type ReclaimRequest struct {
	NoticeMillis int64 `json:"notice_ms"`
}

// serveReclaim sets the Leaving fault at once and calls Options.OnReclaim when
// the notice period has passed.
func (e *Engine) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var body ReclaimRequest
	if !switches.ReadJSON(w, r, &body) {
		return
	}
	e.faults.Update(func(f *Faults) { f.Leaving = true })
	if e.options.OnReclaim != nil {
		time.AfterFunc(time.Duration(body.NoticeMillis)*time.Millisecond, e.options.OnReclaim)
	}
	switches.WriteJSON(w, http.StatusOK, body)
}
