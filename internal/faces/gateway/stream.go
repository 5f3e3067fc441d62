package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/eventreader"
	"github.com/fescuespindle/fescuespindle/internal/online/eventsplitter"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
)

// maxHeldCommentBytes is how much of an upstream's comments is held back until its first event, as an answer without
// events doesn't begin the caller's.
const maxHeldCommentBytes = 4 << 10

// isStream returns whether the answer is due as events. An answer to HEAD has no body.
func (f *forwarding) isStream() bool {
	return f.x.request.route.Kind == router.KindStream && f.x.request.Call.Method != http.MethodHead
}

// deliverStream writes each event to the caller once it is complete. An incomplete event
// at the end of a truncated stream is discarded, so that another upstream can resume.
func (f *forwarding) deliverStream(d *courier.Delivery) error {
	control := http.NewResponseController(f.x.w)
	events := eventreader.New(d, f.resumedAfter(), eventsplitter.WithMemory(f.gateway.memory))
	defer events.Close()
	defer func() { f.lastEventID = cmp.Or(events.LastEvent(), f.lastEventID) }()
	var comments []byte // before the first event
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !f.headSent {
				f.writeHead(d)
			}
			return nil
		}
		if err != nil {
			if !errors.Is(err, eventsplitter.ErrNoMemory) { // which shows nothing of the upstream
				err = f.recordBreak(d, err)
			}
			return relayer.NewAttemptError(relayer.RanMaybe, err)
		}
		if !event.HasData() && !f.headSent {
			comments = appendWithin(maxHeldCommentBytes, comments, event.Raw())
			continue
		}
		if err := f.writeEvent(d, control, event, comments); err != nil {
			return err
		}
		comments = nil
	}
}

// resumedAfter returns the id of the event after which the upstream goes on; "" for the first one. Upstreams of a route that
// can't be resumed may begin anew whatever the caller asks for.
func (f *forwarding) resumedAfter() string {
	if !f.canResume() {
		return ""
	}
	return f.lastEventID
}

// appendWithin appends a part to a text unless that gets longer than some bytes.
func appendWithin(bytes int, text, part []byte) []byte {
	if len(text)+len(part) > bytes {
		return text
	}
	return append(text, part...)
}

// writeEvent writes one event to the caller, after the comments that preceded it. The stall timer is paused meanwhile.
func (f *forwarding) writeEvent(
	d *courier.Delivery, control *http.ResponseController, event eventsplitter.Event, comments []byte,
) error {
	f.stallTimer.Pause()
	isEvent := event.HasData() // a comment only keeps the connection open
	if isEvent {
		f.beginStream(f.x.r.Context(), d.Upstream())
	}
	if !f.headSent {
		f.writeHead(d)
	}
	text := event.Raw()
	if len(comments) > 0 {
		text = slices.Concat(comments, text)
	}
	if err := f.write(text); err != nil {
		return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", errCallerGone, err))
	}
	start := time.Now()
	err := control.Flush()
	f.recordWrite(time.Since(start))
	if err != nil {
		return relayer.NewAttemptError(relayer.RanMaybe, fmt.Errorf("%w: %w", errCallerGone, err))
	}
	f.stallTimer.Resume(isEvent)
	if isEvent {
		f.countEvent()
	}
	return nil
}

// countEvent counts an event with data.
func (f *forwarding) countEvent() {
	f.events++
	if f.events == minHealthyEvents {
		f.gateway.crashes.RecordAnswer(f.x.request.traits, time.Now())
	}
}
