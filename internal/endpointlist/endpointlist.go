// Package endpointlist holds the endpoint list as discovery tells it: its entries, their states and its updates.
//
// Discovery decodes it, the journal stores its changes, and the event loop translates it for the dispatcher. The JSON
// keys are those of the protocol.
package endpointlist

// The states of an endpoint. In any other state it accepts nothing new.
const (
	StateServing = "SERVING"
	StateDeleted = "DELETED"
)

// Endpoint is one entry of the list.
type Endpoint struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   uint32  `json:"cell"` // the destination that it belongs to
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// EqualExceptWeight reports whether two entries of one endpoint differ in nothing that decides whether and how it may be
// called. Weights may change with every answer, and come again with the next one.
func (e Endpoint) EqualExceptWeight(other Endpoint) bool {
	e.Weight = other.Weight
	return e == other
}

// IsDeleted reports whether the entry only says that its endpoint is gone.
func (e Endpoint) IsDeleted() bool { return e.State == StateDeleted }

// Update is an answer of discovery: the full list, or what has changed since an earlier version.
type Update struct {
	Version   int64      `json:"version"`
	Full      bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}
