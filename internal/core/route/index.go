package route

import "strings"

// Index answers for requests from one table. It doesn't change and is safe
// for concurrent use.
type Index struct {
	table  *Table
	byHost map[string]*hostRoutes
	pools  map[string]*Pool
	keys   map[string]*Organisation
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	// longest is the length of the longest prefix, in bytes.
	longest int
}

// NewIndex indexes a table, which must not change afterwards.
func NewIndex(t *Table) *Index {
	x := &Index{
		table:  t,
		byHost: make(map[string]*hostRoutes),
		pools:  make(map[string]*Pool),
		keys:   make(map[string]*Organisation),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.add(normalHost(r.Host), r)
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

// add leaves the first route of a prefix in place.
func (x *Index) add(host string, r *Route) {
	routes := x.byHost[host]
	if routes == nil {
		routes = &hostRoutes{byPrefix: make(map[string]*Route)}
		x.byHost[host] = routes
	}
	if _, taken := routes.byPrefix[r.PathPrefix]; !taken {
		routes.byPrefix[r.PathPrefix] = r
		routes.longest = max(routes.longest, len(r.PathPrefix))
	}
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

// Match returns the route with the longest prefix that begins the path. Prefixes
// end with a slash, so only what comes before each slash of the path is looked
// up: the cost is that of the path, however many routes there are.
func (x *Index) Match(host, path string) (*Route, bool) {
	routes := x.byHost[normalHost(host)]
	if routes == nil {
		return nil, false
	}
	// A path of thousands of slashes costs no more than the longest prefix.
	path = path[:min(len(path), routes.longest)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := routes.byPrefix[path[:end+1]]; found {
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
