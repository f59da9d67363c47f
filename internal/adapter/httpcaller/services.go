package httpcaller

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// headerReplayed marks a reply that was stored for an earlier request.
const headerReplayed = "Idempotent-Replayed"

const contentTypeJSON = "application/json"

func (h *handler) service(w http.ResponseWriter, r *http.Request, c caller) {
	request, invalid := h.readServiceCall(w, r, c)
	if invalid != nil {
		h.rejectInvalid(w, invalid)
		return
	}
	reply, refusal := h.Application.CallService(r.Context(), request)
	if refusal != nil {
		problemOf(refusal, c.requestID).write(w)
		return
	}
	h.writeReply(w, r.Method, reply)
}

func (h *handler) readServiceCall(w http.ResponseWriter, r *http.Request, c caller) (*router.ServiceRequest, *invalidInput) {
	service := r.PathValue("service")
	if len(service) > maxNameBytes {
		return nil, invalidField("service", "the name is too long")
	}
	key, invalid := idempotencyKey(r)
	if invalid != nil {
		return nil, invalid
	}
	isNonIdempotent, invalid := nonIdempotent(r)
	if invalid != nil {
		return nil, invalid
	}
	body, invalid := readBody(w, r, h.BodyTimeout)
	if invalid != nil {
		return nil, invalid
	}
	return &router.ServiceRequest{
		RequestID: c.requestID, Organisation: c.organisation, Service: service, Method: r.Method,
		Path: servicePath(r), Header: r.Header, Body: body, IdempotencyKey: key, NonIdempotent: isNonIdempotent,
	}, nil
}

// servicePath returns the path and query for the service, escaped as the
// caller sent them.
func servicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/")
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// writeReply forwards a reply. If the service's reply is cut off, the caller's
// connection is aborted, because a short body must not look complete.
func (h *handler) writeReply(w http.ResponseWriter, method string, reply *router.ServiceReply) {
	header := w.Header()
	for name, values := range reply.Header {
		if method == http.MethodHead || name != "Content-Length" {
			header[name] = values
		}
	}
	if mayStateOutcome(reply) {
		header.Set("Content-Type", contentTypeJSON)
	}
	if reply.Length >= 0 && method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	if reply.Replayed {
		header.Set(headerReplayed, "true")
	}
	control := http.NewResponseController(w)
	// The listener's writers support deadlines; other writers may not.
	_ = control.SetWriteDeadline(time.Now().Add(h.WriteTimeout))
	w.WriteHeader(reply.Status)
	// If the write fails, the caller has disconnected; the error can't be reported.
	_, _ = w.Write(reply.Body)
	if reply.Rest == nil {
		return
	}
	defer reply.Rest.Close()
	if _, err := io.Copy(&deadlineWriter{w: w, control: control, timeout: h.WriteTimeout}, reply.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// mayStateOutcome reports whether a service's reply is a problem document that may have an
// outcome. With its content type, callers would take that for the outcome of the router.
func mayStateOutcome(reply *router.ServiceReply) bool {
	types := strings.ToLower(strings.Join(reply.Header.Values("Content-Type"), ","))
	if !strings.Contains(types, problem.ContentType) || len(reply.Body) == 0 {
		return false
	}
	var members map[string]json.RawMessage
	if reply.Rest != nil || json.Unmarshal(reply.Body, &members) != nil {
		return true
	}
	for name := range members {
		if strings.EqualFold(name, "outcome") {
			return true
		}
	}
	return false
}

// deadlineWriter sets a new deadline for each write.
type deadlineWriter struct {
	w       io.Writer
	control *http.ResponseController
	timeout time.Duration
}

func (d *deadlineWriter) Write(p []byte) (int, error) {
	// The listener's writers support deadlines; other writers may not.
	_ = d.control.SetWriteDeadline(time.Now().Add(d.timeout))
	return d.w.Write(p)
}
