package record

import (
	"encoding/json"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Evacuations returns the evacuations in force. A record whose body this build can't
// decode still evacuates the failure domain that it is named after, since its
// existence alone is the order.
func Evacuations(rs []port.Record) evacuation.Set {
	var out []evacuation.Evacuation
	for i := range rs {
		r := &rs[i]
		if r.Deleted || r.Kind != port.ObjectDomainEvacuation && r.Kind != port.ObjectPlatformEvacuation {
			continue
		}
		e := evacuation.Evacuation{FailureDomain: r.Name, Kind: r.Kind, Version: r.Version}
		var spec DomainEvacuation
		if r.Kind == port.ObjectDomainEvacuation && decodeLatest(*r, &spec) == nil {
			e.Reason, e.RequestedBy = spec.Reason, spec.RequestedBy
			if since, err := time.Parse(time.RFC3339, spec.Since); err == nil {
				e.Since = &since
			}
		}
		out = append(out, e)
	}
	return evacuation.NewSet(out)
}

// EmptyDocument returns the empty document, for objects whose existence is all
// their information.
func EmptyDocument() json.RawMessage { return json.RawMessage("{}") }
