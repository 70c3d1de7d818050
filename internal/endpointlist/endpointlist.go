// Package endpointlist defines the endpoint list as discovery sends it: its entries, their states and its updates.
//
// It has no state. Discovery decodes the list, the journal stores its changes, and the event loop converts it for the
// dispatcher. The JSON keys are part of the protocol and of the journal's file format, and never change.
package endpointlist

// The states of an endpoint. In any other state it accepts no new calls.
const (
	StateServing = "SERVING"
	StateDeleted = "DELETED"
)

// Endpoint is one entry of the list.
type Endpoint struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"` // host and port
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   uint32  `json:"cell"` // the destination that it belongs to
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// EqualExceptWeight reports whether two entries agree in all fields but the weight: those that determine whether and
// how the endpoint may be called. Discovery may change a weight in every update and sends it again with the next one.
func (e Endpoint) EqualExceptWeight(other Endpoint) bool {
	e.Weight = other.Weight
	return e == other
}

// IsDeleted reports whether the entry only announces that its endpoint has been removed from the list.
func (e Endpoint) IsDeleted() bool { return e.State == StateDeleted }

// Update is a response of discovery: the full list, or the entries that have changed since an earlier version.
type Update struct {
	Version   int64      `json:"version"`
	Full      bool       `json:"full"` // the list is complete: endpoints without an entry have been removed
	Endpoints []Endpoint `json:"servers"`
}
