package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"
)

// connectionKey is the context key of the connection that a request arrived on.
type connectionKey struct{}

// connectionOf returns the connection of a request, or nil if it did not come through the limitListener.
func connectionOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connectionKey{}).(*clientConn)
	return c
}

// Serve serves on a listener returned by Limit until this server closes it. It returns an error if accept fails
// permanently.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Join(err, l.Close())
		}
		if c, ok := conn.(*clientConn); ok {
			s.connections.opened(c)
			go s.serveConn(c)
			runtime.Gosched() // during a flood, those that have been accepted come first
		}
	}
}

// serveConn serves the requests on a connection, and closes it. net/http would keep buffers of some kilobytes for each
// connection, and would parse heads of any number of fields; here what peers can make the process hold is bounded.
func (s *Server) serveConn(c *clientConn) {
	reader := newRequestReader(c, s.memory)
	defer func() {
		if reason := recover(); reason != nil {
			s.log.Error("serving a client failed", "reason", reason, "stack", string(debug.Stack()))
		}
		reader.close()
		s.connections.setState(c, stateClosing)
		_ = c.Close() // nothing more can be done for the client
		s.connections.closed(c)
	}()
	ctx := context.WithValue(s.submitCtx, connectionKey{}, c)
	for isFirst := true; s.serveRequest(ctx, c, reader, isFirst); isFirst = false {
		runtime.Gosched() // a client that sends without pause must not hold up the others
	}
}

// serveRequest reads and answers the next request. It returns false if no further request is served on the connection.
func (s *Server) serveRequest(ctx context.Context, c *clientConn, reader *requestReader, isFirst bool) bool {
	request, err := reader.next(isFirst)
	w := newResponseWriter()
	if err != nil {
		if rejection := headRejection(c, err); rejection != nil {
			s.reject(w, rejection)
			_ = s.respond(c, w, true) // the connection is closed in any case
		}
		return false
	}
	s.handler.ServeHTTP(w, request.WithContext(ctx))
	if request.Close || reader.hasUnreadBody() {
		w.Header().Set("Connection", "close")
	}
	reader.endRequest()
	s.delayResponse(c)
	if c.isEvicted.Load() {
		w.Header().Set("Connection", "close")
	}
	err = s.respond(c, w, request.Method != http.MethodHead)
	if err != nil || w.endsConnection() {
		return false
	}
	s.connections.responded(c, reader.hasBuffered())
	return true
}

// headRejection returns how a request is rejected whose head could not be read; nil if its connection is closed without
// a response.
func headRejection(c *clientConn, err error) error {
	var invalid *requestError
	switch {
	case errors.As(err, &invalid):
		return invalid
	case errors.Is(err, io.EOF):
		return nil
	case c.isEvicted.Load() || errors.Is(err, errNoMemory):
		return errNoRoom
	}
	return nil
}

// respond writes a response.
func (s *Server) respond(c *clientConn, w *responseWriter, withBody bool) error {
	s.connections.setState(c, stateResponding)
	if c.isCutOff.Load() {
		return net.ErrClosed
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // a connection that rejects it fails in the write as well
	_, err := c.Write(w.render(withBody))
	return err
}

// delayResponse holds the response back while the connection exceeds its rate. Only the response is delayed, not the
// reading of the next request: a client that leaves meanwhile is noticed as soon as the response is written, before its
// next request is submitted.
func (s *Server) delayResponse(c *clientConn) {
	delay := c.pacer.take(time.Now(), s.connections.isCrowded())
	if delay <= 0 {
		return
	}
	s.connections.setState(c, stateDelayed)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.aborted:
	}
}
