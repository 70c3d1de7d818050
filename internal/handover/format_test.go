package handover

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/golden"
)

// These tests guard the compatibility of the hand-over's wire format across releases. The .gob files under testdata
// were written by the release of commit 5d1fee9, and the .txt files beside them list the fields in them.

// Two releases find one another only if both derive the same socket name from the state directory.
func TestSocketKeepsItsReleasedName(t *testing.T) {
	err := WithSocket("/state", func(path string) error {
		if name := filepath.Base(path); name != "saffronyard-87517253f26a8523.sock" {
			t.Errorf("the socket has the name %s", name)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

// appendFields appends a line with the path and the value of each field of v that is not zero.
func appendFields(path string, v reflect.Value, to *[]string) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			appendFields(path, v.Elem(), to)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				appendFields(path+"."+f.Name, v.Field(i), to)
			}
		}
	case reflect.Slice, reflect.Array:
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
			*to = append(*to, fmt.Sprintf("%s = %q", path, v.Bytes()))
			return
		}
		for i := range v.Len() {
			appendFields(fmt.Sprintf("%s[%d]", path, i), v.Index(i), to)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			appendFields(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key), to)
		}
	case reflect.Int, reflect.Int64:
		if v.Int() != 0 {
			*to = append(*to, fmt.Sprintf("%s = %d", path, v.Int()))
		}
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		if v.Uint() != 0 {
			*to = append(*to, fmt.Sprintf("%s = %d", path, v.Uint()))
		}
	default:
		if !v.IsZero() {
			*to = append(*to, fmt.Sprintf("%s = %v", path, v.Interface()))
		}
	}
}

// packetText returns the non-zero fields of a packet, one sorted line each.
func packetText(p any) string {
	var lines []string
	appendFields("packet", reflect.ValueOf(p), &lines)
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

// Guards against a field that is renamed, retyped or not translated: gob drops such a field without an error. Each
// packet that the release wrote is read and written again, and must have the same fields under the same names both
// times.
func TestPacketsKeepTheReleasedFormat(t *testing.T) {
	for _, name := range []string{"Hello", "Estate", "Submit", "Answer", "Ended", "Wait", "Cancel"} {
		t.Run(name, func(t *testing.T) {
			raw, err := os.ReadFile(filepath.Join("testdata", name+".gob"))
			if err != nil {
				t.Fatal(err)
			}
			var read frozenPacket
			if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&read); err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, name+".txt", packetText(read))
			var stream bytes.Buffer
			if err := gob.NewEncoder(&stream).Encode(read.fromWire().toWire()); err != nil {
				t.Fatal(err)
			}
			var written frozenPacket
			if err := gob.NewDecoder(&stream).Decode(&written); err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, name+".txt", packetText(written))
		})
	}
}

// Guards against a renumbering of the dispatcher's outcomes that changes the numbers on the wire: the two releases of
// an upgrade would take one outcome for another.
func TestOutcomesKeepTheirReleasedNumbers(t *testing.T) {
	numbers := []dispatch.Outcome{
		dispatch.Served,
		dispatch.Errored,
		dispatch.Rejected,
		dispatch.TimedOut,
		dispatch.ConnectFailed,
		dispatch.ConnectionBroken,
		dispatch.Cancelled,
		dispatch.NotSent,
		dispatch.NotStarted,
	}
	for number, outcome := range numbers {
		f := frozenOutcome{Outcome: uint8(number)}
		written := outcomeToWire(dispatch.AttemptResult{Outcome: outcome})
		if f.fromWire().Outcome != outcome || written.Outcome != uint8(number) {
			t.Errorf("outcome %s does not have the number %d on the wire", outcome, number)
		}
	}
}
