package port

import (
	"context"
	"iter"
)

// Frame is one event of a generation.
type Frame struct {
	// Generation names the run the frame belongs to.
	Generation string `json:"generation"`
	// Index counts tokens from 0; a final frame carries the count.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// FinishReason is set on the final frame only.
	FinishReason string `json:"finish_reason,omitempty"`
	// TokenCount is the number of tokens, on the final frame only.
	TokenCount int `json:"token_count,omitempty"`
	// Load rides on some frames.
	Load *LoadReport `json:"load,omitempty"`
}

// Final reports whether the frame ends its generation.
func (f *Frame) Final() bool { return f.FinishReason != "" }

// GenerationStart is one dispatch to a runner.
type GenerationStart struct {
	Endpoint   Endpoint
	Generation string
	Model      string
	Prompt     string
	MaxTokens  int
	Priority   int
	User       string
}

// FrameStream yields the frames of one connection to an engine.
type FrameStream interface {
	// Frames yields each frame until the connection or the context ends.
	// An error comes last; none before a final frame means that the
	// connection closed early, which is not an end. It is ranged over once.
	Frames(ctx context.Context) iter.Seq2[Frame, error]
	// Close releases the connection; the engine goes on generating.
	Close() error
}

// GenerationStatus is what an engine says of a generation.
type GenerationStatus string

// The statuses of a generation.
const (
	// GenerationUnknown: the engine never saw it. Only an answer to Cancel
	// is final, as the engine then also refuses a dispatch that comes later.
	GenerationUnknown   GenerationStatus = "unknown"
	GenerationQueued    GenerationStatus = "queued"
	GenerationRunning   GenerationStatus = "running"
	GenerationFinished  GenerationStatus = "finished"
	GenerationCancelled GenerationStatus = "cancelled"
)

// Engine reaches model runners.
type Engine interface {
	Start(ctx context.Context, s *GenerationStart) (FrameStream, error)
	// Resume reads a generation again from the token with index from.
	Resume(ctx context.Context, e Endpoint, generation string, from int) (FrameStream, error)
	// Cancel ends a generation, or bars it where the engine never saw it,
	// and returns the status it had before.
	Cancel(ctx context.Context, e Endpoint, generation string) (GenerationStatus, error)
	Status(ctx context.Context, e Endpoint, generation string) (GenerationStatus, error)
	Load(ctx context.Context, e Endpoint) (LoadReport, error)
	// Look finds out whether an engine serves.
	Look(ctx context.Context, e Endpoint) Presence
}

// OrderKind is what an order asks of a runner.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order changes what a runner serves.
type Order struct {
	ID string `json:"id"`
	// Fence is the lease's fencing number; engines that check it refuse
	// a smaller one than they have seen.
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// RunnerState is the actual state of a runner, for placement.
type RunnerState struct {
	EndpointID  string        `json:"endpoint"`
	Incarnation uint64        `json:"incarnation"`
	State       EndpointState `json:"state"`
	Role        string        `json:"role"`
	// Models maps a ready model to its version; Loading one under way.
	Models    []ModelVersion `json:"models"`
	Loading   []ModelVersion `json:"loading"`
	LastFence uint64         `json:"last_fence"`
}

// ModelVersion names a model, its version and adapters.
type ModelVersion struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Orderer sends orders to runners and reads their actual state.
type Orderer interface {
	Order(ctx context.Context, e Endpoint, o Order) error
	State(ctx context.Context, e Endpoint) (RunnerState, error)
}
