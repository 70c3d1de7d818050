package sender

// How clients make room for one another: the sender has only so many places for their connections.

import (
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

func (s *server) evict() {
	if s.open < s.most || s.evictQuiet() || s.evictHalf() || s.full {
		return
	}
	// All that is left has just begun to speak. Nobody else is let in until there is room, so nothing else would ask again.
	s.full = true
	time.AfterFunc(evictAgain, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.full = false; s.open >= s.most && !s.evictHalf() {
			s.evict()
		}
	})
}

// evictQuiet lets go of who has said nothing for longest. Where something has come, that is a request, read or not.
func (s *server) evictQuiet() bool {
	for asked := map[*clientConn]bool{}; ; {
		var oldest *clientConn
		for g, since := range s.quiet {
			if !asked[g] && (oldest == nil || since.Before(s.quiet[oldest])) {
				oldest = g
			}
		}
		switch {
		case oldest == nil:
			return false
		case netconn.IsQuiet(oldest): // nearly always the first one
			delete(s.quiet, oldest)
			oldest.dismiss(closedRoom)
			return true
		}
		asked[oldest] = true
	}
}

// evictHalf lets go of who has been in the middle of a first request for longest, if that is a while. It is told so, and has
// a moment to hear it, as the place is needed. Should the rest have been read just now, that is answered as any other request.
func (s *server) evictHalf() bool {
	var oldest *clientConn
	for g, since := range s.half {
		if !s.known[g] && time.Since(since) >= evictAgain && (oldest == nil || since.Before(s.half[oldest])) {
			oldest = g
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.half, oldest)
	oldest.cutOff(closedHalf)
	time.AfterFunc(evictClose, func() {
		if !oldest.owed.Load() && !oldest.handled.Load() {
			oldest.Close()
		}
	})
	return true
}
