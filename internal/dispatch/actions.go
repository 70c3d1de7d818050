package dispatch

import "time"

// Action is one of Send, Reject, Fail, Cancel, AbortUnsent, CloseIdle, SetTimer, WatchEndpointList,
// PersistOutages and Log.
type Action interface{ action() }

// Send calls an endpoint with a message and gives the attempt up after Timeout. A call that has to wait for
// its connection is started within StartWithin or not at all, as one that starts later would arrive too late.
type Send struct {
	Message     MessageID
	Endpoint    EndpointID
	Timeout     time.Duration
	StartWithin time.Duration
}

// Reject ends a message that never ran; its client may safely submit it again after RetryAfter.
type Reject struct {
	Message    MessageID
	RetryAfter time.Duration
}

// Fail ends a message that will not be delivered any more. Unlike a rejected message it may have run.
type Fail struct{ Message MessageID }

// Cancel stops waiting for an attempt. The attempt ends as Cancelled, or with another outcome if that is
// known first.
type Cancel struct {
	Message MessageID
	Attempt int
}

// AbortUnsent aborts the calls to an endpoint that have not been written yet: they end as NotSent. Such calls
// may otherwise wait for a connection for a long time. Calls that have been written continue.
type AbortUnsent struct{ Endpoint EndpointID }

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct{ Endpoint EndpointID }

// SetTimer asks for a TimerFired event at clock time At.
type SetTimer struct{ At time.Duration }

// WatchEndpointList asks for the endpoint list and its changes.
type WatchEndpointList struct{}

// PersistOutages asks to store the routes whose state has changed: in an outage, in slow start, or healthy
// again.
type PersistOutages struct{ Outages []Outage }

// Log is a line for the operators.
type Log struct{ Line string }

func (Send) action()              {}
func (Reject) action()            {}
func (Fail) action()              {}
func (Cancel) action()            {}
func (AbortUnsent) action()       {}
func (CloseIdle) action()         {}
func (SetTimer) action()          {}
func (WatchEndpointList) action() {}
func (PersistOutages) action()    {}
func (Log) action()               {}
