package httprecords

import (
	"net/http"
	"strconv"
	"strings"
	"unicode"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
)

// parseCondition reads the If-Match or If-None-Match header that every change
// must have: without a condition, one operator could overwrite another's change
// unknowingly.
func parseCondition(w http.ResponseWriter, r *http.Request, kind string) (*keeper.Change, bool) {
	c := &keeper.Change{Kind: kind, Name: r.PathValue("name")}
	match, noneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match == "" && noneMatch == "":
		refuse(w, http.StatusPreconditionRequired, "no_condition", "If-Match or If-None-Match is required", "If-Match")
		return nil, false
	case match != "" && noneMatch != "":
		refuse(w, http.StatusBadRequest, "bad_condition", "If-Match and If-None-Match exclude each other", "If-Match")
		return nil, false
	case noneMatch == "*":
		c.Create = true
		return c, true
	case noneMatch != "":
		refuse(w, http.StatusBadRequest, "bad_condition", "If-None-Match must be *", "If-None-Match")
		return nil, false
	}
	version, ok := parseETag(match)
	if !ok {
		refuse(w, http.StatusBadRequest, "bad_condition", `If-Match must be one version in quotes, as in "12"`, "If-Match")
		return nil, false
	}
	c.Expect = version
	return c, true
}

func parseETag(s string) (uint64, bool) {
	inner, opened := strings.CutPrefix(strings.TrimSpace(s), `"`)
	inner, closed := strings.CutSuffix(inner, `"`)
	version, err := strconv.ParseUint(inner, 10, 64)
	return version, opened && closed && err == nil && version > 0
}

func setETag(w http.ResponseWriter, version uint64) {
	w.Header().Set("ETag", `"`+strconv.FormatUint(version, 10)+`"`)
}

// schemaParameter reads the schema_version query parameter. Zero means the
// schema in which the record is stored.
func schemaParameter(w http.ResponseWriter, r *http.Request) (int, bool) {
	text := r.URL.Query().Get("schema_version")
	if text == "" {
		return 0, true
	}
	schema, err := strconv.Atoi(text)
	if err != nil || schema < record.SchemaV1 || schema > record.LatestSchema {
		refuse(w, http.StatusBadRequest, "unknown_schema", "schema_version must be one that this build knows", "schema_version")
		return 0, false
	}
	return schema, true
}

// actor returns the name of the operator as the request states it. It is not
// verified, because all operators share one admin token.
func actor(r *http.Request) string {
	name := strings.Map(func(c rune) rune {
		if unicode.IsPrint(c) {
			return c
		}
		return -1
	}, r.Header.Get(headerActor))
	if name == "" {
		return defaultActor
	}
	if len(name) > maxActorBytes {
		return strings.ToValidUTF8(name[:maxActorBytes], "")
	}
	return name
}
