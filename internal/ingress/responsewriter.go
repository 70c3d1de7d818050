package ingress

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// responseWriter collects the response to one request. Responses are short, so they are written as a whole.
type responseWriter struct {
	header http.Header
	status int // 0 until the handler has set it
	body   bytes.Buffer
}

func newResponseWriter() *responseWriter { return &responseWriter{header: http.Header{}} }

// Header returns the header fields, which the handler may change before it writes the body.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sets the status. Only the first call has an effect.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write adds to the body. It never fails.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

// endsConnection reports whether the response announces that the connection is closed after it.
func (w *responseWriter) endsConnection() bool { return w.header.Get("Connection") == "close" }

// render returns the response as it is written to the connection. Without withBody, which is for HEAD, it has the head
// alone.
func (w *responseWriter) render(withBody bool) []byte {
	w.WriteHeader(http.StatusOK)
	w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	w.header.Set("Content-Length", strconv.Itoa(w.body.Len()))
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 " + strconv.Itoa(w.status) + " " + http.StatusText(w.status) + "\r\n")
	_ = w.header.Write(&text) // a buffer in memory takes all
	text.WriteString("\r\n")
	if withBody {
		text.Write(w.body.Bytes())
	}
	return text.Bytes()
}
