package simprotocol

// Codes of the records that the simulator sends.
const (
	CodeHello     = 1  // an instance starts
	CodeDirectory = 2  // the endpoint list, or a change to it
	CodeSubmit    = 3  // a message is submitted
	CodeHead      = 4  // ignored by the adapter
	CodeEnd       = 5  // an attempt has ended
	CodeGone      = 6  // a message is cancelled by its client
	CodeAlarm     = 7  // a timer has fired
	CodeStatus    = 8  // ignored by the adapter
	CodeInbox     = 9  // ignored by the adapter
	CodeExit      = 10 // an instance ends
	CodeCatalog   = 11 // a page of endpoints that later CodeDirectory records refer to
)

// Event is one record of a batch. Its code determines which fields are set.
type Event struct {
	Code     uint16
	Index    int    // index of the record in its batch
	Offset   int    // offset of the record in the frame body, in bytes
	Instance uint16 // number of the instance that the record is for

	// Fields of CodeHello.
	Nonce uint64 // seed of the instance
	Env   string // settings, as path=value lines

	// Fields of CodeDirectory and CodeCatalog.
	Scope uint8  // 0 for a change, 3 for a failed request, else the full list
	Page  uint32 // identifies the catalog
	Nodes []Node // endpoints, only in CodeCatalog

	// Field of CodeSubmit, CodeEnd and CodeGone.
	Call uint64 // ID of the message

	// Fields of CodeSubmit.
	Billing  uint16  // index of the tenant
	Object   uint64  // ordering key, 0 for none
	Priority uint8   // index of the message class
	FarEnd   float32 // destination
	Bits     uint8   // flags, which the adapter ignores
	Expires  float64 // deadline, in ms on the simulator's clock

	// Fields of CodeEnd.
	Try      uint8     // number of the attempt, from 0
	Endpoint uint32    // ID of the endpoint that was called
	Result   uint8     // code of the attempt's outcome
	Elapsed  float64   // duration of the attempt, in ms
	NoMore   bool      // no further result of the message follows
	WaitMs   uint32    // Retry-After of a rejection, in ms
	Report   []float32 // load report; the settings name its fields in this order

	// Field of CodeAlarm.
	Label uint32 // label of the timer, from the wake_me action
}

// Node is one entry of an endpoint list.
type Node struct {
	Kind         uint16  // index of the endpoint's kind in the settings
	Endpoint     uint32  // ID of the endpoint
	Rating       float32 // weight or rate limit of the endpoint, depending on the settings
	Cell         uint16  // destination that the endpoint belongs to
	Availability uint8   // 1 if the endpoint is ready
	Zone         uint8   // zone of the endpoint
}

// Batch is one frame from the simulator.
type Batch struct {
	Clock  float64 // time on the simulator's clock, in ms
	Events []Event
}
