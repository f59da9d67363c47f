// Package httprecords serves the operators' records on a keeper's admin
// listener, together with the daemons and endpoints that the keeper lists.
package httprecords

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpadmin"
	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Keeper is the part of the keeper that this adapter uses.
type Keeper interface {
	Change(ctx context.Context, c *keeper.Change) (keeper.Result, error)
	Audit(ctx context.Context, kind, name string) (keeper.Audit, error)
	Record(kind, name string) (port.Record, bool)
	Records() []port.Record
	Endpoints() []port.Endpoint
	Members() []port.Member
	InForce(ctx context.Context) keeper.InForce
	PlatformAge(now time.Time) time.Duration
	Ready() bool
}

// Handler serves the records of one keeper.
type Handler struct {
	Keeper Keeper
	// Decisions provides the refused changes for audits; it may be nil.
	Decisions port.DecisionSource
}

// Request and response headers other than those of conditional requests.
const (
	// headerPlatformAge is the time since the platform last answered any
	// keeper, in milliseconds; -1 if it never has.
	headerPlatformAge = "Platform-Age-Ms"
	// headerActor is the standard header with the name of the person who made
	// the request.
	headerActor   = "From"
	defaultActor  = "operator"
	maxActorBytes = 128
)

// Register adds the routes.
func (h *Handler) Register(mux *http.ServeMux) {
	for _, kind := range record.Kinds() {
		base := "/admin/v1/" + kind
		mux.HandleFunc("GET "+base, func(w http.ResponseWriter, r *http.Request) { h.list(w, r, kind) })
		mux.HandleFunc("GET "+base+"/{name}", func(w http.ResponseWriter, r *http.Request) { h.get(w, r, kind) })
		mux.HandleFunc("PUT "+base+"/{name}", func(w http.ResponseWriter, r *http.Request) { h.put(w, r, kind) })
		mux.HandleFunc("DELETE "+base+"/{name}", func(w http.ResponseWriter, r *http.Request) { h.remove(w, r, kind) })
	}
	mux.HandleFunc("GET /admin/v1/audit/{kind}/{name}", h.audit)
	mux.HandleFunc("GET /admin/v1/evacuations", h.evacuations)
	mux.HandleFunc("GET /admin/v1/in-force", h.inForce)
	mux.HandleFunc("GET /admin/v1/members", h.members)
	mux.HandleFunc("GET /admin/v1/endpoints", h.endpoints)
}

// versioned is a record's document with its version.
type versioned struct {
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Body    json.RawMessage `json:"document,omitempty"`
}

type recordList struct {
	Records []versioned `json:"records"`
}

// changeReply is the answer to a change that took effect.
type changeReply struct {
	versioned
	WriteID string `json:"write_id"`
	// Superseded is set if another change has already replaced this one; the
	// version and document are then those of the other change.
	Superseded bool `json:"superseded,omitempty"`
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request, kind string) {
	schema, ok := schemaParameter(w, r)
	if !ok || !h.ready(w) {
		return
	}
	out := recordList{Records: []versioned{}}
	for _, rec := range h.Keeper.Records() {
		if rec.Kind != kind {
			continue
		}
		body, err := convertToSchema(rec.Body, schema)
		if err != nil {
			writeError(w, "", err)
			return
		}
		out.Records = append(out.Records, versioned{Version: rec.Version, Body: body})
	}
	h.setPlatformAge(w)
	httpadmin.WriteJSON(w, http.StatusOK, out)
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request, kind string) {
	schema, ok := schemaParameter(w, r)
	if !ok || !h.ready(w) {
		return
	}
	rec, found := h.Keeper.Record(kind, r.PathValue("name"))
	if !found || rec.Deleted {
		writeError(w, "", keeper.ErrNotFound)
		return
	}
	body, err := convertToSchema(rec.Body, schema)
	if err != nil {
		writeError(w, "", err)
		return
	}
	h.setPlatformAge(w)
	setETag(w, rec.Version)
	httpadmin.WriteJSON(w, http.StatusOK, body)
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request, kind string) {
	c, ok := parseCondition(w, r, kind)
	if !ok {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, record.MaxDocumentBytes+1))
	if err != nil {
		writeError(w, "", &record.FieldError{Field: "(document)", Problem: "could not be read"})
		return
	}
	c.Body = body
	h.change(w, r, c)
}

func (h *Handler) remove(w http.ResponseWriter, r *http.Request, kind string) {
	c, ok := parseCondition(w, r, kind)
	if !ok {
		return
	}
	if c.Create {
		refuse(w, http.StatusBadRequest, "bad_condition", "If-None-Match has no meaning for a delete", "If-None-Match")
		return
	}
	c.Delete = true
	h.change(w, r, c)
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request, c *keeper.Change) {
	c.Actor = actor(r)
	result, err := h.Keeper.Change(r.Context(), c)
	w.Header().Set("Decision-Id", result.WriteID)
	if err != nil {
		writeChangeError(w, &result, err)
		return
	}
	setETag(w, result.Record.Version)
	status := http.StatusOK
	if c.Create {
		status = http.StatusCreated
	}
	httpadmin.WriteJSON(w, status, changeReply{
		versioned: asVersioned(&result.Record), WriteID: result.WriteID, Superseded: result.Superseded,
	})
}

func asVersioned(r *port.Record) versioned {
	return versioned{Version: r.Version, Deleted: r.Deleted, Body: r.Body}
}

// auditReply combines the stored audit trail with the refusals in this keeper's
// memory.
type auditReply struct {
	keeper.Audit
	// Refused lists the changes that this keeper refused. Each keeper lists only
	// its own.
	Refused []port.DecisionRecord `json:"refused_here"`
}

func (h *Handler) audit(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	if !record.KnownKind(kind) {
		refuse(w, http.StatusNotFound, "unknown_kind", "no such kind of record", "kind")
		return
	}
	trail, err := h.Keeper.Audit(r.Context(), kind, name)
	if err != nil {
		writeError(w, "", err)
		return
	}
	reply := auditReply{Audit: trail, Refused: []port.DecisionRecord{}}
	if h.Decisions != nil {
		for _, d := range h.Decisions.Explain("configuration", kind+"/"+name) {
			if d.Verdict != "accepted" {
				reply.Refused = append(reply.Refused, d)
			}
		}
	}
	httpadmin.WriteJSON(w, http.StatusOK, reply)
}

func (h *Handler) inForce(w http.ResponseWriter, r *http.Request) {
	httpadmin.WriteJSON(w, http.StatusOK, h.Keeper.InForce(r.Context()))
}

type evacuationList struct {
	Evacuations []evacuation.Evacuation `json:"evacuations"`
}

// evacuations lists the evacuations in force at this keeper, whoever ordered
// them.
func (h *Handler) evacuations(w http.ResponseWriter, _ *http.Request) {
	if !h.ready(w) {
		return
	}
	h.setPlatformAge(w)
	httpadmin.WriteJSON(w, http.StatusOK, evacuationList{Evacuations: record.Evacuations(h.Keeper.Records()).All()})
}

type memberList struct {
	Members []port.Member `json:"members"`
}

type endpointList struct {
	Endpoints []port.Endpoint `json:"endpoints"`
}

func (h *Handler) members(w http.ResponseWriter, _ *http.Request) {
	httpadmin.WriteJSON(w, http.StatusOK, memberList{Members: h.Keeper.Members()})
}

func (h *Handler) endpoints(w http.ResponseWriter, _ *http.Request) {
	httpadmin.WriteJSON(w, http.StatusOK, endpointList{Endpoints: h.Keeper.Endpoints()})
}

// ready refuses reads while the keeper has not received all records: it would
// otherwise report existing records as absent.
func (h *Handler) ready(w http.ResponseWriter) bool {
	if h.Keeper.Ready() {
		return true
	}
	refuse(w, http.StatusServiceUnavailable, "not_ready", "this keeper does not hold all records yet", "")
	return false
}

func (h *Handler) setPlatformAge(w http.ResponseWriter) {
	age := h.Keeper.PlatformAge(time.Now())
	millis := int64(-1)
	if age >= 0 {
		millis = age.Milliseconds()
	}
	w.Header().Set(headerPlatformAge, strconv.FormatInt(millis, 10))
}

func convertToSchema(body json.RawMessage, schema int) (json.RawMessage, error) {
	if schema == 0 {
		return body, nil
	}
	d, err := record.Parse(body)
	if err != nil {
		return nil, err
	}
	converted, err := d.Convert(schema)
	if err != nil {
		return nil, err
	}
	return converted.Marshal(), nil
}
