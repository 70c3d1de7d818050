package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// MaxFrame is the maximum size of a frame body, in bytes.
const MaxFrame = 1 << 30

// Sizes in bytes.
const (
	frameHeaderSize  = 16 // clock, length of the rest, number of records
	recordHeaderSize = 6  // code, length of the fields
	nodeSize         = 22
	maxNumberSize    = 8
)

// ReadBatch reads one frame. It returns io.EOF when the input ends between frames.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [frameHeaderSize]byte
	n, err := io.ReadFull(r, head[:])
	if errors.Is(err, io.EOF) {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, fmt.Errorf("frame header: %d of %d bytes, then the input ends", n, frameHeaderSize)
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(head[:]))
	size := binary.LittleEndian.Uint32(head[8:])
	count := binary.LittleEndian.Uint32(head[12:])
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("frame header: the clock is not a number")
	}
	if size < 4 || size > MaxFrame {
		return Batch{}, fmt.Errorf("frame header: length %d is out of bounds", size)
	}
	// ReadAll grows its buffer with the bytes that arrive, so that a wrong size in the header allocates no memory.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)-4))
	if err != nil {
		return Batch{}, fmt.Errorf("frame body: %w", err)
	}
	if uint32(len(body)) != size-4 {
		return Batch{}, fmt.Errorf("frame body: %d of %d bytes, then the input ends", len(body), size-4)
	}
	return parse(clock, count, body)
}

// parse decodes the records of a frame body.
func parse(clock float64, count uint32, body []byte) (Batch, error) {
	b := Batch{Clock: clock}
	if int64(count)*recordHeaderSize > int64(len(body)) {
		return b, fmt.Errorf("frame header: %d records do not fit in %d bytes", count, len(body))
	}
	b.Events = make([]Event, 0, count)
	at := 0
	for i := range int(count) {
		if len(body)-at < recordHeaderSize {
			return b, fmt.Errorf("record %d at offset %d: no room for its code and size", i, at)
		}
		code := binary.LittleEndian.Uint16(body[at:])
		size := int64(binary.LittleEndian.Uint32(body[at+2:]))
		if size > int64(len(body)-at-recordHeaderSize) {
			return b, fmt.Errorf("record %d at offset %d: size %d runs past the frame", i, at, size)
		}
		start, end := at+recordHeaderSize, at+recordHeaderSize+int(size)
		d := decoder{fields: body[start:end]}
		e := Event{Code: code, Index: i, Offset: at}
		d.decodeEvent(&e)
		if d.problem != "" {
			return b, fmt.Errorf("record %d at offset %d (code %d): %s", i, at, code, d.problem)
		}
		b.Events = append(b.Events, e)
		at = end
	}
	if at != len(body) {
		return b, fmt.Errorf("record %d at offset %d: %d bytes left after the last record", count, at, len(body)-at)
	}
	return b, nil
}

// decoder decodes the fields of one record. After the first error it returns zeros.
type decoder struct {
	fields  []byte
	at      int    // number of bytes read
	problem string // description of the first error, "" for none
}

// next returns the next n bytes. If there are fewer, it records an error that names the field, and returns zeros.
func (d *decoder) next(n int, field string) []byte {
	if d.problem != "" || n > len(d.fields)-d.at {
		if d.problem == "" {
			d.problem = fmt.Sprintf("%s at offset %d of the record runs past its end", field, d.at+recordHeaderSize)
		}
		return make([]byte, maxNumberSize)
	}
	d.at += n
	return d.fields[d.at-n : d.at]
}

func (d *decoder) u8(field string) uint8   { return d.next(1, field)[0] }
func (d *decoder) u16(field string) uint16 { return binary.LittleEndian.Uint16(d.next(2, field)) }
func (d *decoder) u32(field string) uint32 { return binary.LittleEndian.Uint32(d.next(4, field)) }
func (d *decoder) u64(field string) uint64 { return binary.LittleEndian.Uint64(d.next(8, field)) }

func (d *decoder) f32(field string) float32 {
	v := math.Float32frombits(d.u32(field))
	if v64 := float64(v); math.IsNaN(v64) || math.IsInf(v64, 0) {
		d.rejectNumber(field)
	}
	return v
}

func (d *decoder) f64(field string) float64 {
	v := math.Float64frombits(d.u64(field))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		d.rejectNumber(field)
	}
	return v
}

// rejectNumber records the error that a field is NaN or infinite.
func (d *decoder) rejectNumber(field string) {
	if d.problem == "" {
		d.problem = field + " is not a number"
	}
}

// count reads an element count and checks that the record is long enough for as many elements of a size.
func (d *decoder) count(size int, field string) int {
	n := int64(d.u32(field + " count"))
	if d.problem == "" && n*int64(size) > int64(len(d.fields)-d.at) {
		d.problem = fmt.Sprintf("%s count %d runs past the record's end", field, n)
	}
	if d.problem != "" {
		return 0
	}
	return int(n)
}

// decodeReport decodes a load report.
func (d *decoder) decodeReport() []float32 {
	n := int(d.u8("telemetry count"))
	if n == 0 {
		return nil
	}
	out := make([]float32, 0, n)
	for i := 0; i < n && d.problem == ""; i++ {
		out = append(out, d.f32("telemetry"))
	}
	return out
}

// decodeEvent decodes the fields of one record. It ignores bytes after the known fields.
func (d *decoder) decodeEvent(e *Event) {
	if e.Code == CodeCatalog {
		d.decodeCatalog(e)
		return
	}
	if e.Code < CodeHello || e.Code > CodeCatalog {
		d.problem = "unknown code"
		return
	}
	e.Instance = d.u16("i")
	switch e.Code {
	case CodeHello:
		e.Nonce = d.u64("nonce64")
		e.Env = string(d.next(d.count(1, "env"), "env"))
	case CodeDirectory:
		e.Scope = d.u8("scope")
		d.u32("generation")
		e.Page = d.u32("page")
	case CodeSubmit:
		d.decodeSubmit(e)
	case CodeEnd:
		d.decodeEnd(e)
	case CodeGone:
		e.Call = d.u64("call")
	case CodeAlarm:
		e.Label = d.u32("label")
	}
}

func (d *decoder) decodeCatalog(e *Event) {
	e.Page = d.u32("page")
	n := d.count(nodeSize, "nodesList")
	e.Nodes = make([]Node, 0, n)
	for range n {
		node := Node{
			Kind:         d.u16("kind"),
			Endpoint:     d.u32("endpoint"),
			Rating:       d.f32("rating"),
			Cell:         d.u16("cell"),
			Availability: d.u8("availability"),
			Zone:         d.u8("rackZone"),
		}
		d.f64("lastStart")
		e.Nodes = append(e.Nodes, node)
	}
}

func (d *decoder) decodeSubmit(e *Event) {
	e.Call = d.u64("call")
	d.f64("effort")
	e.Billing = d.u16("billing")
	e.Object = d.u64("object")
	e.Priority = d.u8("priority")
	e.FarEnd = d.f32("farEnd")
	e.Bits = d.u8("bits")
	e.Expires = d.f64("expires")
}

func (d *decoder) decodeEnd(e *Event) {
	e.Call = d.u64("call")
	e.Try = d.u8("try")
	e.Endpoint = d.u32("endpoint")
	e.Result = d.u8("result")
	e.Elapsed = d.f64("elapsed")
	e.NoMore = d.u8("noMore") != 0
	e.WaitMs = d.u32("waitMs")
	e.Report = d.decodeReport()
}
