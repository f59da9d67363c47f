package route

import (
	"cmp"
	"slices"
	"strings"
)

// Index answers for requests from one table. It doesn't change and is safe
// for concurrent use.
type Index struct {
	table *Table
	// byHost lists a host's routes, the longest prefix first.
	byHost map[string][]*Route
	pools  map[string]*Pool
	keys   map[string]*Organisation
}

// NewIndex indexes a table, which must not change afterwards.
func NewIndex(t *Table) *Index {
	x := &Index{
		table:  t,
		byHost: make(map[string][]*Route),
		pools:  make(map[string]*Pool),
		keys:   make(map[string]*Organisation),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := normalHost(r.Host)
		x.byHost[host] = append(x.byHost[host], r)
	}
	for _, routes := range x.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range t.Pools {
		x.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		for _, key := range o.KeySHA256 {
			x.keys[strings.ToLower(key)] = o
		}
	}
	return x
}

// Version is the table's version.
func (x *Index) Version() uint64 { return x.table.Version }

// Limits are the table's limits on callers.
func (x *Index) Limits() Limits { return x.table.Limits }

// Pools lists the table's pools.
func (x *Index) Pools() []Pool { return x.table.Pools }

// Organisations lists the table's organisations.
func (x *Index) Organisations() []Organisation { return x.table.Organisations }

// Pool returns what is said of a pool.
func (x *Index) Pool(name string) (*Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// Match returns the route with the longest prefix that begins the path.
func (x *Index) Match(host, path string) (*Route, bool) {
	for _, r := range x.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// AsksForKeys reports whether requests carry keys at all.
func (x *Index) AsksForKeys() bool { return len(x.table.Organisations) > 0 }

// Organisation finds the holder of a key by its SHA-256 in hex.
func (x *Index) Organisation(keySHA256 string) (*Organisation, bool) {
	o, ok := x.keys[strings.ToLower(keySHA256)]
	return o, ok
}

// normalHost drops the port and the case, which don't tell hosts apart.
func normalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Target draws the pool for a request: draw is a number from 0 up to 1, which
// it never reaches. Weights of zero or less draw nothing, unless all are.
func (r *Route) Target(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return r.Targets[int(draw*float64(len(r.Targets)))].Pool
	}
	at := int(draw * float64(total))
	for _, t := range r.Targets {
		if at -= max(0, t.Weight); at < 0 {
			return t.Pool
		}
	}
	return r.Targets[len(r.Targets)-1].Pool
}
