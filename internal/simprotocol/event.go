package simprotocol

// Codes of the records from the simulator.
const (
	CodeHello     = 1  // an instance starts
	CodeDirectory = 2  // the endpoint list or a change of it
	CodeSubmit    = 3  // a message is submitted
	CodeHead      = 4  // not used here
	CodeEnd       = 5  // an attempt has ended
	CodeGone      = 6  // a message is cancelled by its client
	CodeAlarm     = 7  // a timer has fired
	CodeStatus    = 8  // not used here
	CodeInbox     = 9  // not used here
	CodeExit      = 10 // an instance ends
	CodeCatalog   = 11 // endpoints that later records refer to
)

// Event is one record of a batch. Its code says which fields are set.
type Event struct {
	Code     uint16
	Index    int // number of the record in its batch
	Offset   int // where the record starts in the frame body, in bytes
	Instance uint16

	// CodeHello.
	Nonce uint64 // seed of the instance
	Env   string // settings

	// CodeDirectory and CodeCatalog.
	Scope uint8 // 0 for a change, 3 for a failed request, else the full list
	Page  uint32
	Nodes []Node // CodeCatalog

	// CodeSubmit, CodeEnd and CodeGone.
	Call uint64 // message

	// CodeSubmit.
	Billing  uint16  // tenant
	Object   uint64  // ordering key, 0 for none
	Priority uint8   // class
	FarEnd   float32 // destination
	Bits     uint8
	Expires  float64 // deadline, ms on the clock

	// CodeEnd.
	Try      uint8 // number of the attempt, from 0
	Endpoint uint32
	Result   uint8     // outcome
	Elapsed  float64   // ms
	NoMore   bool      // the message needs no further result
	WaitMs   uint32    // retry-after of a rejection
	Report   []float32 // load report, in the order that the settings name

	// CodeAlarm.
	Label uint32
}

// Node is one line of an endpoint list.
type Node struct {
	Kind         uint16
	Endpoint     uint32
	Rating       float32
	Cell         uint16 // destination
	Availability uint8  // 1 for ready
	Zone         uint8
}

// Batch is one frame from the simulator.
type Batch struct {
	Clock  float64 // ms
	Events []Event
}
