package httpcaller

import (
	"net/http"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpadmin"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// headerLastEventID is the ID of the last event that a resuming caller received.
const headerLastEventID = "Last-Event-ID"

func (h *handler) completions(w http.ResponseWriter, r *http.Request, c caller) {
	body, request, invalid := h.readCompletion(w, r, c)
	if invalid != nil {
		h.rejectInvalid(w, invalid)
		return
	}
	if body.Stream {
		s := newStreamWriter(w, request.RequestID, h.WriteTimeout)
		s.finish(h.Application.Generate(r.Context(), request, s))
		return
	}
	answer := newCollector(request.RequestID)
	refusal := h.Application.Generate(r.Context(), request, answer)
	h.writeCompletion(w, answer, refusal)
}

func (h *handler) readCompletion(w http.ResponseWriter, r *http.Request, c caller) (*completionBody, *router.GenerationRequest, *invalidInput) {
	key, invalid := idempotencyKey(r)
	if invalid != nil {
		return nil, nil, invalid
	}
	isNonIdempotent, invalid := nonIdempotent(r)
	if invalid != nil {
		return nil, nil, invalid
	}
	raw, invalid := readBody(w, r, h.BodyTimeout)
	if invalid != nil {
		return nil, nil, invalid
	}
	body, invalid := parseCompletion(raw)
	if invalid != nil {
		return nil, nil, invalid
	}
	return body, &router.GenerationRequest{
		RequestID: c.requestID, Organisation: c.organisation, Model: body.Model, Prompt: body.Prompt,
		MaxTokens: body.MaxTokens, User: body.User, IdempotencyKey: key, NonIdempotent: isNonIdempotent,
	}, nil
}

// resume serves the rest of a stream. Without Last-Event-ID it starts at the
// first token.
func (h *handler) resume(w http.ResponseWriter, r *http.Request, c caller) {
	token := r.PathValue("token")
	from := 0
	if id := r.Header.Get(headerLastEventID); id != "" {
		lastToken, index, err := stream.SplitEventID(id)
		if err != nil || lastToken != token {
			h.reject(w, http.StatusBadRequest, "invalid_request", headerLastEventID, "must be <token>:<index> with the token of the path")
			return
		}
		from = index + 1
	}
	s := newStreamWriter(w, c.requestID, h.WriteTimeout)
	s.finish(h.Application.Resume(r.Context(), &router.ResumeRequest{
		RequestID: c.requestID, Organisation: c.organisation, Token: token, From: from,
	}, s))
}

// cancelReply holds the status that the engine reported for the run before
// the cancellation.
type cancelReply struct {
	Status port.GenerationStatus `json:"status"`
}

// cancel stops a run at its caller's request.
func (h *handler) cancel(w http.ResponseWriter, r *http.Request, c caller) {
	status, refusal := h.Application.Cancel(r.Context(), c.organisation, r.PathValue("token"))
	if refusal != nil {
		problemOf(refusal, c.requestID).write(w)
		return
	}
	httpadmin.WriteJSON(w, http.StatusOK, cancelReply{Status: status})
}
