package route

import "strings"

// Index looks up routes, pools and organisations in one table. It is immutable and
// safe for concurrent use.
type Index struct {
	table     *Table
	byHost    map[string]*hostRoutes
	pools     map[string]*Pool
	byKeyHash map[string]*Organisation
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	// maxPrefixBytes is the length of the longest prefix, in bytes.
	maxPrefixBytes int
}

// NewIndex returns an index of a table, which must not be changed afterwards.
func NewIndex(t *Table) *Index {
	x := &Index{
		table:     t,
		byHost:    make(map[string]*hostRoutes),
		pools:     make(map[string]*Pool),
		byKeyHash: make(map[string]*Organisation),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.addRoute(normalizeHost(r.Host), r)
	}
	for i := range t.Pools {
		x.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		for _, key := range o.KeySHA256 {
			x.byKeyHash[strings.ToLower(key)] = o
		}
	}
	return x
}

// addRoute adds a route unless the host already has one with the same prefix.
func (x *Index) addRoute(host string, r *Route) {
	routes := x.byHost[host]
	if routes == nil {
		routes = &hostRoutes{byPrefix: make(map[string]*Route)}
		x.byHost[host] = routes
	}
	if _, exists := routes.byPrefix[r.PathPrefix]; !exists {
		routes.byPrefix[r.PathPrefix] = r
		routes.maxPrefixBytes = max(routes.maxPrefixBytes, len(r.PathPrefix))
	}
}

// Version returns the version of the table.
func (x *Index) Version() uint64 { return x.table.Version }

// Limits returns the table's limits on requests of callers.
func (x *Index) Limits() Limits { return x.table.Limits }

// Pools returns the pools of the table.
func (x *Index) Pools() []Pool { return x.table.Pools }

// Organisations returns the organisations of the table.
func (x *Index) Organisations() []Organisation { return x.table.Organisations }

// Pool returns the pool with the given name.
func (x *Index) Pool(name string) (*Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// Match returns the route of the host with the longest prefix of the path. Prefixes
// end with a slash, so that only the parts of the path up to each of its slashes are
// looked up. The cost depends on the path and not on the number of routes.
func (x *Index) Match(host, path string) (*Route, bool) {
	routes := x.byHost[normalizeHost(host)]
	if routes == nil {
		return nil, false
	}
	// Limits the cost for a path with thousands of slashes to that of the longest
	// prefix.
	path = path[:min(len(path), routes.maxPrefixBytes)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := routes.byPrefix[path[:end+1]]; found {
			return r, true
		}
	}
	return nil, false
}

// RequiresKeys reports whether requests need a key, which is so if the table lists
// organisations.
func (x *Index) RequiresKeys() bool { return len(x.table.Organisations) > 0 }

// Organisation returns the organisation of a key, given the SHA-256 of the key in
// hex.
func (x *Index) Organisation(keySHA256 string) (*Organisation, bool) {
	o, ok := x.byKeyHash[strings.ToLower(keySHA256)]
	return o, ok
}

// normalizeHost removes the port and converts the host to lower case, as neither
// distinguishes hosts.
func normalizeHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Target selects the pool for a request by weight. draw is a random number in the
// half-open interval [0, 1). Targets with a weight of zero or less are not selected,
// unless all weights are; then all targets are equally likely.
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
