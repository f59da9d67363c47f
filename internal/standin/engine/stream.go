package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// foreignFrameInterval is the number of tokens between two injected frames of
// another generation.
const foreignFrameInterval = 3

// connection sends one generation's frames to one client.
type connection struct {
	engine     *Engine
	session    *sse.Session
	request    *http.Request
	generation *generation
	// isStart is set on the connection whose request started the generation.
	isStart bool
	sent    int
}

// stream sends the generation's frames to the client, beginning with index
// from. If the client disconnects, the generation continues.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int, isStart bool) {
	session, err := sse.Upgrade(w, r)
	if err != nil {
		switches.Refuse(w, http.StatusInternalServerError, "no_stream", err.Error())
		return
	}
	if session.Flush() != nil {
		return
	}
	c := &connection{engine: e, session: session, request: r, generation: g, isStart: isStart}
	c.run(from)
}

func (c *connection) run(next int) {
	for {
		current := c.generation.progress()
		for next < current.tokens {
			if !c.sendToken(next) {
				return
			}
			next++
		}
		switch current.status {
		case port.GenerationCancelled:
			return
		case port.GenerationFinished:
			c.sendFinal()
			return
		}
		select {
		case <-current.changed:
		case <-c.request.Context().Done():
			return
		}
	}
}

// sendToken sends the frame of one token and applies the faults to it. It
// returns false if the stream has ended.
func (c *connection) sendToken(index int) bool {
	if !c.waitWhileStalled() {
		return false
	}
	faults := c.frameFaults()
	frame := c.generation.frame(index)
	if index == 0 {
		c.addLoad(&frame)
	}
	if faults.CrossGeneration && index%foreignFrameInterval == 1 {
		foreign := frame
		foreign.Generation = "crossed-" + frame.Generation
		foreign.Text = TokenText(foreign.Generation, index)
		if !c.send(&foreign) {
			return false
		}
	}
	copies := 1
	switch index {
	case 0:
	case faults.DropFrame:
		copies = 0
	case faults.DuplicateFrame:
		copies = 2
	}
	for range copies {
		if !c.send(&frame) {
			return false
		}
	}
	c.sent++
	if c.sent == faults.CutAfterTokens {
		panic(http.ErrAbortHandler)
	}
	return true
}

func (c *connection) sendFinal() {
	if !c.waitWhileStalled() || c.frameFaults().EarlyClose {
		return
	}
	frame := c.generation.frame(c.generation.total)
	c.addLoad(&frame)
	c.send(&frame)
}

// frameFaults returns the frame faults of this connection. A connection that
// resumes a generation has none.
func (c *connection) frameFaults() Faults {
	if !c.isStart {
		return Faults{}
	}
	return c.engine.faults.Get()
}

// waitWhileStalled blocks while Faults.Stall is set. It returns false if the
// client disconnects in the meantime.
func (c *connection) waitWhileStalled() bool {
	for {
		changed := c.engine.faults.Changed()
		if !c.engine.faults.Get().Stall {
			return true
		}
		select {
		case <-changed:
		case <-c.request.Context().Done():
			return false
		}
	}
}

func (c *connection) addLoad(frame *port.Frame) {
	report := c.engine.load()
	frame.Load = &report
}

func (c *connection) send(frame *port.Frame) bool {
	raw, err := json.Marshal(frame)
	if err != nil {
		// Marshalling can't fail, as a frame holds only plain values.
		panic(err)
	}
	message := &sse.Message{ID: sse.ID(frame.Generation + ":" + strconv.Itoa(frame.Index))}
	message.AppendData(string(raw))
	return c.session.Send(message) == nil && c.session.Flush() == nil
}
