package endpointlist

import (
	"encoding/json"
	"reflect"
	"testing"
)

func TestEqualExceptWeight(t *testing.T) {
	t.Parallel()
	entry := Endpoint{ID: "s", Addr: "a:1", Zone: "z", Kind: "k", Cell: 3, State: StateServing, Weight: 1}
	for name, c := range map[string]struct {
		change func(*Endpoint)
		want   bool
	}{
		"no change":       {change: func(*Endpoint) {}, want: true},
		"another weight":  {change: func(e *Endpoint) { e.Weight = 2 }, want: true},
		"another id":      {change: func(e *Endpoint) { e.ID = "t" }},
		"another address": {change: func(e *Endpoint) { e.Addr = "a:2" }},
		"another zone":    {change: func(e *Endpoint) { e.Zone = "y" }},
		"another kind":    {change: func(e *Endpoint) { e.Kind = "l" }},
		"another cell":    {change: func(e *Endpoint) { e.Cell = 4 }},
		"another state":   {change: func(e *Endpoint) { e.State = "DRAINING" }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			changed := entry
			c.change(&changed)
			if got := entry.EqualExceptWeight(changed); got != c.want {
				t.Errorf("EqualExceptWeight returns %v for %+v", got, changed)
			}
		})
	}
}

// Guards against a change of the JSON keys: they are part of the protocol, and of journals that earlier releases wrote.
func TestUpdateHasTheKeysOfTheProtocol(t *testing.T) {
	t.Parallel()
	const text = `{"version":7,"full":true,"servers":[` +
		`{"id":"s","addr":"a:1","zone":"z","kind":"k","cell":3,"state":"DELETED","weight":1.5}]}`
	want := Update{Version: 7, Full: true, Endpoints: []Endpoint{
		{ID: "s", Addr: "a:1", Zone: "z", Kind: "k", Cell: 3, State: StateDeleted, Weight: 1.5},
	}}
	var got Update
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) || !got.Endpoints[0].IsDeleted() {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	written, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != text {
		t.Errorf("encoded %s, want %s", written, text)
	}
}
