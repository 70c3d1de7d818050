package ingress

import (
	"io"
	"net/http"
	"time"
)

const (
	// minHeadBuffer is the size in bytes of the buffer that each connection has; nearly all heads fit into it.
	minHeadBuffer = 1 << 10
	// headBufferGrowth is the factor by which the buffer grows for a longer head, up to maxHeader.
	headBufferGrowth = 4
	// continueResponse asks a client for the body that it holds back.
	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

// requestReader reads the requests on a connection, one after another. What a request holds beyond the connection's own
// small buffer is taken from the memory budget before it is allocated.
type requestReader struct {
	conn   *clientConn
	memory *memoryBudget

	first    [minHeadBuffer]byte
	buffer   []byte // first, or a larger one whose size is taken from the budget
	buffered int    // bytes in the buffer

	// The state of the current request.
	bodyBudget int64 // bytes taken from the budget for the body
	body       requestBody
}

// requestBody is the body of the current request. It is read as a whole.
type requestBody struct {
	reader   *requestReader
	unread   int64     // bytes that have not been read
	readBy   time.Time // when the request has to be complete
	holdBack bool      // the client waits for continueResponse before it sends the body
}

func newRequestReader(c *clientConn, memory *memoryBudget) *requestReader {
	r := &requestReader{conn: c, memory: memory}
	r.buffer = r.first[:]
	return r
}

// next reads the head of the next request. It returns io.EOF if the connection ends, or is not to be read any more,
// before a request has begun, a *requestError for an invalid head, and otherwise the error of the connection.
func (r *requestReader) next(isFirst bool) (*http.Request, error) {
	began := time.Now()
	if r.buffered == 0 && !isFirst {
		_ = r.conn.SetReadDeadline(began.Add(idleTimeout)) // a connection that rejects it fails in the read as well
		if err := r.fill(); err != nil {
			return nil, io.EOF
		}
		began = time.Now()
	}
	head, err := r.readHead(began.Add(HeaderTimeout))
	if err != nil {
		return nil, err
	}
	request, err := parseHead(r.buffer[:head])
	if err != nil {
		return nil, err
	}
	r.discard(head)
	r.body = requestBody{
		reader:   r,
		unread:   max(0, request.ContentLength),
		readBy:   began.Add(readTimeout),
		holdBack: request.Header.Get("Expect") == "100-continue",
	}
	request.Body = &r.body
	return request, nil
}

// readHead reads until the head of a request is complete, and returns its length.
func (r *requestReader) readHead(deadline time.Time) (length int, err error) {
	_ = r.conn.SetReadDeadline(deadline) // a connection that rejects it fails in the read as well
	for scanner := (headScanner{}); ; {
		if length, err = scanner.scan(r.buffer[:r.buffered]); length > 0 || err != nil {
			return length, err
		}
		if err := r.growBuffer(deadline); err != nil {
			return 0, err
		}
		hadBegun := r.buffered > 0
		if err := r.fill(); err != nil {
			if !hadBegun {
				return 0, io.EOF
			}
			return 0, err
		}
	}
}

// fill reads more into the buffer, which is not full.
func (r *requestReader) fill() error {
	n, err := r.conn.Read(r.buffer[r.buffered:])
	r.buffered += n
	if n > 0 {
		return nil
	}
	return err
}

// growBuffer enlarges a buffer that is full.
func (r *requestReader) growBuffer(deadline time.Time) error {
	if r.buffered < len(r.buffer) {
		return nil
	}
	size := min(len(r.buffer)*headBufferGrowth, maxHeader)
	if err := r.take(int64(size), deadline); err != nil {
		return err
	}
	larger := make([]byte, size)
	copy(larger, r.buffer)
	r.replaceBuffer(larger)
	return nil
}

// replaceBuffer makes b the buffer, and returns the memory of the one before to the budget.
func (r *requestReader) replaceBuffer(b []byte) {
	if len(r.buffer) > minHeadBuffer {
		r.giveBack(int64(len(r.buffer)))
	}
	r.buffer = b
}

// discard removes bytes from the front of the buffer.
func (r *requestReader) discard(bytes int) {
	copy(r.buffer, r.buffer[bytes:r.buffered])
	r.buffered -= bytes
}

// take takes bytes from the budget.
func (r *requestReader) take(bytes int64, deadline time.Time) error {
	if err := r.memory.acquire(bytes, r.conn.aborted, deadline); err != nil {
		return err
	}
	r.conn.heldMemory.Add(bytes)
	return nil
}

// giveBack returns bytes to the budget.
func (r *requestReader) giveBack(bytes int64) {
	r.conn.heldMemory.Add(-bytes)
	r.memory.release(bytes)
}

// endRequest returns the memory of the current request to the budget, except for what has been read of the next one.
func (r *requestReader) endRequest() {
	r.giveBack(r.bodyBudget)
	r.bodyBudget = 0
	if len(r.buffer) > minHeadBuffer && r.buffered <= minHeadBuffer {
		copy(r.first[:], r.buffer[:r.buffered])
		r.replaceBuffer(r.first[:])
	}
}

// close returns all memory to the budget. The reader must not be used afterwards.
func (r *requestReader) close() {
	r.buffered = 0
	r.endRequest()
}

// hasBuffered reports whether a part of the next request has been read.
func (r *requestReader) hasBuffered() bool { return r.buffered > 0 }

// hasUnreadBody reports whether the body of the current request has not been read, so that the next request cannot be.
func (r *requestReader) hasUnreadBody() bool { return r.body.unread > 0 }

// readAll reads the whole body. Its memory belongs to the budget until the request has its response. It is taken only
// when the rest of the body has arrived, so that a peer that stops half way holds none.
func (b *requestBody) readAll() ([]byte, error) {
	r := b.reader
	if missing := b.unread - int64(r.buffered); missing > 0 {
		if err := b.prepareRead(); err != nil {
			return nil, err
		}
		if err := r.conn.awaitReadable(int(missing)); err != nil {
			return nil, err
		}
	}
	if err := r.take(b.unread, b.readBy); err != nil {
		return nil, err
	}
	r.bodyBudget += b.unread
	body := make([]byte, b.unread)
	if _, err := io.ReadFull(b, body); err != nil {
		return nil, err
	}
	return body, nil
}

// Read reads from the body: what is in the buffer, then from the connection.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.unread <= 0 {
		return 0, io.EOF
	}
	r := b.reader
	p = p[:min(int64(len(p)), b.unread)]
	if r.buffered > 0 {
		n := copy(p, r.buffer[:r.buffered])
		r.discard(n)
		b.unread -= int64(n)
		return n, nil
	}
	if err := b.prepareRead(); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(p)
	b.unread -= int64(n)
	if n > 0 {
		return n, nil
	}
	return n, err
}

// prepareRead sets the deadline of the connection, and asks the client for the body if it waits for that.
func (b *requestBody) prepareRead() error {
	conn := b.reader.conn
	_ = conn.SetReadDeadline(b.readBy) // a connection that rejects it fails in the read as well
	if !b.holdBack {
		return nil
	}
	b.holdBack = false
	_, err := io.WriteString(conn.Conn, continueResponse) // past clientConn.Write: it is not the response
	return err
}

// Close makes requestBody an io.ReadCloser. The connection is closed by its server.
func (b *requestBody) Close() error { return nil }
