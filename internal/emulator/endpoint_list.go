package emulator

// Server is a line of the endpoint list, in discovery's form.
type Server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"` // the destination's number
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
	Start  int64   `json:"started_ms"`
}

// List is discovery's answer: all lines, or those that have changed.
type List struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// The states of an endpoint in the list.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)
