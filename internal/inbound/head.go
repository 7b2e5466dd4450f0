package inbound

import (
	"bytes"
	"time"
)

// Limits are the limits of one connection.
type Limits struct {
	HeaderBytes int64         // of the fields of a head, and of the request line
	Fields      int64         // of a head
	HeaderTime  time.Duration // from the first byte of a head to its end
	IdleTime    time.Duration // between requests, and before the first one
	// MinRate is the least bytes a second that a caller sends of a body, or takes of a
	// response, while the process waits for it, over RateWindow.
	MinRate    int64
	RateWindow time.Duration
}

// Bound is one bound on what callers hold.
type Bound int

// The bounds.
const (
	None Bound = iota
	HeaderBytes
	Fields
	HeaderTime
	SlowBody
	SlowRead
	Connections
	Requests
	Memory
	bounds // their number
)

// Bounds returns all bounds.
func Bounds() []Bound {
	var out []Bound
	for b := HeaderBytes; b < bounds; b++ {
		out = append(out, b)
	}
	return out
}

// String returns the name of a bound in metrics and log lines.
func (b Bound) String() string {
	return [...]string{"none", "header_bytes", "fields", "header_time", "slow_body", "slow_read", "connections", "requests", "memory"}[b]
}

// Head follows the bytes of a head as they arrive, before they are parsed. The zero value
// is the beginning of a head.
type Head struct {
	bytes  int64 // of the fields
	line   int64 // bytes of the current line
	blank  bool  // the current line holds nothing but its end, as far as it has arrived
	fields int64
	first  bool // the request line has ended
	done   bool
}

// Done reports whether the head has ended.
func (h *Head) Done() bool { return h.done }

// Cost returns what the head costs so far.
func (h *Head) Cost() int64 { return HeadCost(h.bytes, h.fields) }

// Add adds the next bytes and returns the bound that the head exceeds, or None. Bytes
// after the end of the head are left aside. The request line does not count towards the
// bytes of the fields, so that a head whose fields have just the allowed size passes.
func (h *Head) Add(p []byte, l Limits) Bound {
	for len(p) > 0 && !h.done {
		end := bytes.IndexByte(p, '\n')
		part := p
		if end >= 0 {
			part = p[:end+1]
		}
		p = p[len(part):]
		text := string(part[:min(len(part), 3)])
		before := h.blank
		h.blank = h.line == 0 && (text == "\n" || text == "\r\n" || text == "\r") || h.line == 1 && h.blank && text == "\n"
		h.line += int64(len(part))
		if h.first && !h.blank {
			h.bytes += int64(len(part))
			if before { // the carriage return that ended the last piece belongs to a field
				h.bytes++
			}
		}
		if over := h.exceeds(l); over != None {
			return over
		}
		if end < 0 {
			break
		}
		switch {
		case !h.first:
			h.first = true
		case h.blank:
			h.done = true
		default:
			h.fields++
		}
		h.line, h.blank = 0, false
	}
	return h.exceeds(l)
}

func (h *Head) exceeds(l Limits) Bound {
	switch {
	case h.bytes > l.HeaderBytes || !h.first && h.line > l.HeaderBytes:
		return HeaderBytes
	case h.fields > l.Fields:
		return Fields
	}
	return None
}
