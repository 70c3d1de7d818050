package simprotocol

import (
	"encoding/binary"
	"io"
	"math"
)

// Codes of the records that are sent to the simulator.
const (
	replySend          = 1
	replyDecline       = 2
	replyFinishError   = 3
	replyCancel        = 4
	replyWakeMe        = 5
	replyClose         = 7
	replyWriteLog      = 9
	replyInternalError = 10
	replyStreamChanges = 11
)

// replyHeaderSize is the size of a reply's header, in bytes: its length and its number of records.
const replyHeaderSize = 8

// Reply encodes the actions of one reply.
type Reply struct {
	buf   []byte
	count uint32
}

// record appends the header of a record and the instance. size is the size of its fields, the instance included.
func (r *Reply) record(code uint16, size int, instance uint16) {
	if r.count == 0 {
		r.buf = append(r.buf[:0], make([]byte, replyHeaderSize)...)
	}
	r.count++
	r.buf = binary.LittleEndian.AppendUint16(r.buf, code)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, uint32(size))
	r.buf = binary.LittleEndian.AppendUint16(r.buf, instance)
}

func (r *Reply) u64(v uint64)  { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *Reply) text(s string) {
	r.buf = binary.LittleEndian.AppendUint16(r.buf, uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// Send appends a send action: a call to an endpoint, with a timeout in milliseconds.
func (r *Reply) Send(instance uint16, call uint64, timeoutMs float64, endpoint uint32) {
	r.record(replySend, 22, instance)
	r.u64(call)
	r.f64(timeoutMs)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, endpoint)
}

// Decline appends a decline action: the message is rejected and may be submitted again after retryAfterMs milliseconds.
func (r *Reply) Decline(instance uint16, call uint64, retryAfterMs float64) {
	r.record(replyDecline, 18, instance)
	r.u64(call)
	r.f64(retryAfterMs)
}

// FinishError appends a finish_error action: the message has failed.
func (r *Reply) FinishError(instance uint16, call uint64) {
	r.record(replyFinishError, 10, instance)
	r.u64(call)
}

// Cancel appends a cancel action for an attempt.
func (r *Reply) Cancel(instance uint16, call uint64, try uint8) {
	r.record(replyCancel, 11, instance)
	r.u64(call)
	r.buf = append(r.buf, try)
}

// WakeMe appends a wake_me action: a timer that fires at a time of the simulator's clock.
func (r *Reply) WakeMe(instance uint16, atMs float64, label uint32) {
	r.record(replyWakeMe, 14, instance)
	r.f64(atMs)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, label)
}

// Close appends a close action for the idle connections to an endpoint.
func (r *Reply) Close(instance uint16, endpoint uint32) {
	r.record(replyClose, 6, instance)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, endpoint)
}

// WriteLog appends a write_log action: a line for the operators.
func (r *Reply) WriteLog(instance uint16, text string) { r.line(replyWriteLog, instance, text) }

// InternalError appends an internal_error action: the instance has failed.
func (r *Reply) InternalError(instance uint16, text string) {
	r.line(replyInternalError, instance, text)
}

// line appends a record with a text, which is truncated to the maximum length.
func (r *Reply) line(code, instance uint16, text string) {
	if len(text) > math.MaxUint16 {
		text = text[:math.MaxUint16]
	}
	r.record(code, 4+len(text), instance)
	r.text(text)
}

// StreamChanges appends a stream_changes action, which subscribes to changes of the endpoint list.
func (r *Reply) StreamChanges(instance uint16) {
	r.record(replyStreamChanges, 3, instance)
	r.buf = append(r.buf, 1)
}

// Flush writes the reply to w and resets it.
func (r *Reply) Flush(w io.Writer) error {
	if r.count == 0 {
		r.buf = append(r.buf[:0], make([]byte, replyHeaderSize)...)
	}
	binary.LittleEndian.PutUint32(r.buf, uint32(len(r.buf)-4))
	binary.LittleEndian.PutUint32(r.buf[4:], r.count)
	r.count = 0
	_, err := w.Write(r.buf)
	return err
}
