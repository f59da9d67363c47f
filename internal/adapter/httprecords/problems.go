package httprecords

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
)

// retryAfter is the delay after which a refused change may be retried.
const retryAfter = time.Second

// conflict is a problem document with the current version of the record, with
// which the refused change conflicts.
type conflict struct {
	problem.Problem
	Winner versioned `json:"winner"`
}

func refuse(w http.ResponseWriter, status int, reason, detail, field string) {
	p := &problem.Problem{
		Status: status, Title: http.StatusText(status), Detail: detail,
		Reason: reason, Outcome: problem.OutcomeNotRun, Field: field,
	}
	if status == http.StatusServiceUnavailable {
		p.WithRetryAfter(retryAfter)
	}
	problem.Write(w, p)
}

// writeChangeError reports a failed change. On a conflict it also sends the
// current version of the record.
func writeChangeError(w http.ResponseWriter, result *keeper.Result, err error) {
	if !errors.Is(err, keeper.ErrStale) {
		writeError(w, result.WriteID, err)
		return
	}
	c := conflict{Problem: *problemOf(result.WriteID, err), Winner: asVersioned(&result.Record)}
	c.Type = "about:blank"
	raw, marshalErr := json.Marshal(c)
	if marshalErr != nil {
		writeError(w, result.WriteID, err)
		return
	}
	w.Header().Set("Content-Type", problem.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	setETag(w, result.Record.Version)
	w.WriteHeader(c.Status)
	// If the write fails, the operator has disconnected; the error can't be reported.
	_, _ = w.Write(raw)
}

func writeError(w http.ResponseWriter, decisionID string, err error) {
	problem.Write(w, problemOf(decisionID, err))
}

// problemOf returns the problem document for a read or change that failed with
// err.
func problemOf(decisionID string, err error) *problem.Problem {
	p := &problem.Problem{Detail: err.Error(), DecisionID: decisionID, Outcome: problem.OutcomeNotRun}
	var field *record.FieldError
	switch {
	case errors.As(err, &field):
		p.Status, p.Reason, p.Field = http.StatusUnprocessableEntity, "invalid", field.Field
	case errors.Is(err, record.ErrNewerSchema), errors.Is(err, record.ErrNewerFormat):
		p.Status, p.Reason, p.Field = http.StatusUnprocessableEntity, "newer_schema", "schema_version"
	case errors.Is(err, keeper.ErrStale):
		p.Status, p.Reason = http.StatusPreconditionFailed, "conflict"
	case errors.Is(err, keeper.ErrNotFound):
		p.Status, p.Reason = http.StatusNotFound, "absent"
	case errors.Is(err, keeper.ErrTooLarge):
		p.Status, p.Reason = http.StatusRequestEntityTooLarge, "too_large"
	case errors.Is(err, keeper.ErrNotWritten):
		p.Status, p.Reason = http.StatusServiceUnavailable, "platform_unavailable"
		p.WithRetryAfter(retryAfter)
	case errors.Is(err, keeper.ErrOutcomeUnknown):
		// The outcome is not "failed" because the write may have taken effect.
		// The write ID identifies it in the audit later.
		p.Status, p.Reason, p.Outcome = http.StatusGatewayTimeout, "unknown", problem.OutcomeUnknown
		p.WithRetryAfter(retryAfter)
	default:
		p.Status, p.Reason = http.StatusInternalServerError, "internal"
	}
	p.Title = http.StatusText(p.Status)
	return p
}
