package port

import (
	"context"
	"iter"
)

// Frame is one event of a generation.
type Frame struct {
	// Generation is the id of the generation that the frame belongs to.
	Generation string `json:"generation"`
	// Index is the token's index, starting at 0; on the final frame it is the
	// number of tokens.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// FinishReason is set on the final frame only.
	FinishReason string `json:"finish_reason,omitempty"`
	// TokenCount is the number of tokens, on the final frame only.
	TokenCount int `json:"token_count,omitempty"`
	// Load is a load report that some frames carry.
	Load *LoadReport `json:"load,omitempty"`
}

// Final reports whether the frame ends its generation.
func (f *Frame) Final() bool { return f.FinishReason != "" }

// GenerationStart is the dispatch of a generation to a runner.
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
	// Frames yields each frame until the connection or the context ends. An error
	// is yielded last. If the sequence ends without an error or a final frame, the
	// connection was closed early and the generation may still be running. The
	// sequence can be iterated only once.
	Frames(ctx context.Context) iter.Seq2[Frame, error]
	// Close releases the connection; the engine continues to generate.
	Close() error
}

// GenerationStatus is the status of a generation as reported by an engine.
type GenerationStatus string

// The statuses of a generation.
const (
	// GenerationUnknown means that the engine has never received the generation. It
	// is final only as the result of Cancel, after which the engine also refuses a
	// later dispatch of the generation.
	GenerationUnknown   GenerationStatus = "unknown"
	GenerationQueued    GenerationStatus = "queued"
	GenerationRunning   GenerationStatus = "running"
	GenerationFinished  GenerationStatus = "finished"
	GenerationCancelled GenerationStatus = "cancelled"
)

// Engine communicates with model runners.
type Engine interface {
	Start(ctx context.Context, s *GenerationStart) (FrameStream, error)
	// Resume reads a generation again, starting at the token with the index from.
	Resume(ctx context.Context, e Endpoint, generation string, from int) (FrameStream, error)
	// Cancel ends a generation and returns its previous status. If the engine has
	// never received the generation, it refuses a later dispatch of it.
	Cancel(ctx context.Context, e Endpoint, generation string) (GenerationStatus, error)
	Status(ctx context.Context, e Endpoint, generation string) (GenerationStatus, error)
	// Load reads a load report. After a late reply it may be an older one.
	Load(ctx context.Context, e Endpoint) (LoadReport, error)
	// LoadNow reads a load report that is the reply to this call.
	LoadNow(ctx context.Context, e Endpoint) (LoadReport, error)
	// CheckPresence checks whether an engine serves requests.
	CheckPresence(ctx context.Context, e Endpoint) Presence
}

// OrderKind is the action that an order requests from a runner.
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
	// Fence is the lease's fencing number. Engines that check it refuse a number
	// smaller than the largest one that they have received.
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
	// Models lists the ready models with their versions; Loading lists those that
	// are being loaded.
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
