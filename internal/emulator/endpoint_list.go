package emulator

// Server is a line of the endpoint list, in the agent's JSON form.
type Server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"` // the number of the destination
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
	Start  int64   `json:"started_ms"`
}

// List is the agent's answer to a request for the endpoint list: all lines if Full is set, otherwise only the lines
// that have changed.
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
