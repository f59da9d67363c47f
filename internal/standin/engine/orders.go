package engine

import (
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// defaultRole is the role of a runner until an order changes it.
const defaultRole = "serve"

// maxApplied bounds the orders that GET /standin/orders can return.
const maxApplied = 1000

// AppliedOrders is the response to GET /standin/orders: the newest orders that
// the runner has applied, oldest first.
type AppliedOrders struct {
	Orders []port.Order `json:"orders"`
}

// orderState is the part of the runner's state that orders change.
type orderState struct {
	options Options

	mu           sync.Mutex
	role         string
	ready        []port.ModelVersion
	loading      []port.ModelVersion
	fence        uint64
	appliedCount int
	staleCount   int
	// applied are the newest orders that were not refused, oldest first.
	applied []port.Order
}

func (b *orderState) init(o Options) {
	b.options = o
	b.role = defaultRole
	b.ready = slices.Clone(o.Models)
}

func (b *orderState) counts() (orders, stale int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.appliedCount, b.staleCount
}

func (b *orderState) isReady(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return indexOfModel(b.ready, model) >= 0
}

func (b *orderState) readyModels() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := make([]string, 0, len(b.ready))
	for _, m := range b.ready {
		names = append(names, m.Model)
	}
	return names
}

func indexOfModel(models []port.ModelVersion, model string) int {
	return slices.IndexFunc(models, func(m port.ModelVersion) bool { return m.Model == model })
}

// snapshot returns the runner's current state.
func (b *orderState) snapshot(state port.EndpointState) port.RunnerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return port.RunnerState{
		EndpointID: b.options.ID, Incarnation: b.options.Incarnation, State: state,
		Role: b.role, LastFence: b.fence,
		Models:  append([]port.ModelVersion{}, b.ready...),
		Loading: append([]port.ModelVersion{}, b.loading...),
	}
}

// apply checks the order's fencing number and carries the order out. It returns
// false if the order is stale.
func (b *orderState) apply(o *port.Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.options.FencesOrders && o.Fence < b.fence {
		b.staleCount++
		return false
	}
	b.fence = max(b.fence, o.Fence)
	b.appliedCount++
	if len(b.applied) == maxApplied {
		b.applied = b.applied[1:]
	}
	b.applied = append(b.applied, *o)
	switch o.Kind {
	case port.OrderLoadModel:
		b.load(port.ModelVersion{Model: o.Model, Version: o.Version})
	case port.OrderUnloadModel:
		b.ready = slices.DeleteFunc(b.ready, func(m port.ModelVersion) bool { return m.Model == o.Model })
	case port.OrderLoadAdapter:
		b.addAdapter(o.Model, o.Adapter)
	case port.OrderSetRole:
		b.role = o.Role
	}
	return true
}

// load starts to load a version of a model, unless this version is ready or
// being loaded. If another version is being loaded, its result is discarded.
func (b *orderState) load(m port.ModelVersion) {
	if at := indexOfModel(b.ready, m.Model); at >= 0 && b.ready[at].Version == m.Version {
		return
	}
	if at := indexOfModel(b.loading, m.Model); at >= 0 {
		if b.loading[at].Version == m.Version {
			return
		}
		b.loading = slices.Delete(b.loading, at, at+1)
	}
	if b.options.WeightsURL == "" {
		b.makeReady(m)
		return
	}
	b.loading = append(b.loading, m)
	go b.fetch(m)
}

func (b *orderState) makeReady(m port.ModelVersion) {
	if at := indexOfModel(b.ready, m.Model); at >= 0 {
		b.ready[at] = m
		return
	}
	b.ready = append(b.ready, m)
}

func (b *orderState) addAdapter(model, adapter string) {
	at := indexOfModel(b.ready, model)
	if at < 0 || slices.Contains(b.ready[at].Adapters, adapter) {
		return
	}
	b.ready[at].Adapters = append(slices.Clone(b.ready[at].Adapters), adapter)
}

// fetch reads the weights and makes the model ready. After a failed read the
// model is neither loading nor ready, so that the sender of the order can see
// that it must be repeated.
func (b *orderState) fetch(m port.ModelVersion) {
	loaded := b.readWeights(m)
	b.mu.Lock()
	defer b.mu.Unlock()
	at := indexOfModel(b.loading, m.Model)
	if at < 0 || b.loading[at].Version != m.Version {
		return
	}
	b.loading = slices.Delete(b.loading, at, at+1)
	if loaded {
		b.makeReady(m)
	}
}

func (b *orderState) readWeights(m port.ModelVersion) bool {
	address := b.options.WeightsURL + "/v1/weights/" + url.PathEscape(m.Model) + "/" + url.PathEscape(m.Version)
	res, err := http.Get(address)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o port.Order
	if !switches.ReadJSON(w, r, &o) {
		return
	}
	kinds := []port.OrderKind{port.OrderLoadModel, port.OrderUnloadModel, port.OrderLoadAdapter, port.OrderSetRole}
	if !slices.Contains(kinds, o.Kind) {
		switches.Refuse(w, http.StatusBadRequest, "bad_order", "unknown kind")
		return
	}
	if !e.orders.apply(&o) {
		switches.Refuse(w, http.StatusConflict, "stale_fence", "")
		return
	}
	switches.WriteJSON(w, http.StatusOK, e.orders.snapshot(e.state()))
}

func (e *Engine) serveAppliedOrders(w http.ResponseWriter, _ *http.Request) {
	e.orders.mu.Lock()
	applied := append([]port.Order{}, e.orders.applied...)
	e.orders.mu.Unlock()
	switches.WriteJSON(w, http.StatusOK, AppliedOrders{Orders: applied})
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	switches.WriteJSON(w, http.StatusOK, e.orders.snapshot(e.state()))
}
