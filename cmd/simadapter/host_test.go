package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// newRecord returns a record with the given code and fields.
func newRecord(code uint16, fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if s, ok := f.(string); ok {
			b.WriteString(s)
		} else if err := binary.Write(&b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	out := binary.LittleEndian.AppendUint16(nil, code)
	out = binary.LittleEndian.AppendUint32(out, uint32(b.Len()))
	return append(out, b.Bytes()...)
}

// frame returns the frame of a batch with the given records.
func frame(clock float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint64(nil, math.Float64bits(clock))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(body)+4))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	return append(out, body...)
}

const env = "balancers=2\n" +
	"familyInfo.callsOut=8\nfamilyInfo.perCall=1\nfamilyInfo.routesApart=false\n" +
	"models=plain\nlimits.mostHeld=50\nlimits.maxAttempts=6\nstep=5.0\n" +
	"services.count=1\nservices.0.slo=1000\nservices.0.giveUp=8000\n" +
	"services.0.effect=read_like\nservices.0.worth=1\nservices.0.lateValue=0.5\n" +
	"telemetry.fields=x0,x1\nsomething.new=1\n"

// hello returns the record that starts an instance.
func hello(i uint16, env string) []byte { return newRecord(1, i, uint64(9), uint32(len(env)), env) }

// list returns a catalog with one endpoint and the record of an endpoint list that refers to it.
func list(i uint16) []byte {
	page := newRecord(11, uint32(2), uint32(1),
		uint16(0), uint32(70), float32(1), uint16(4), uint8(1), uint8(0), float64(0))
	return append(page, newRecord(2, i, uint8(2), uint32(1), uint32(2))...)
}

// submit returns the record of a submitted message.
func submit(i uint16, call uint64) []byte {
	return newRecord(3, i, call, 0.0, uint16(0), uint64(0), uint8(0), float32(4), uint8(0), 9000.0)
}

// join returns the frame of a batch with all records of the parts. A part may hold several records, as list does.
func join(clock float64, parts ...[]byte) []byte {
	var all [][]byte
	for _, p := range parts {
		for len(p) > 0 {
			n := 6 + int(binary.LittleEndian.Uint32(p[2:]))
			all = append(all, p[:n])
			p = p[n:]
		}
	}
	return frame(clock, all...)
}

// build builds the adapter and returns the path of the program.
func build(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "simadapter")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// reply reads one reply and returns the codes of its records and its body.
func reply(t *testing.T, r io.Reader) (codes []uint16, body []byte) {
	t.Helper()
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		t.Fatal(err)
	}
	body = make([]byte, binary.LittleEndian.Uint32(head[:])-4)
	if _, err := io.ReadFull(r, body); err != nil {
		t.Fatal(err)
	}
	for p := body; len(p) > 0; p = p[6+binary.LittleEndian.Uint32(p[2:]):] {
		codes = append(codes, binary.LittleEndian.Uint16(p))
	}
	if len(codes) != int(binary.LittleEndian.Uint32(head[4:])) {
		t.Fatalf("the reply has %d records, its header says %d", len(codes), binary.LittleEndian.Uint32(head[4:]))
	}
	return codes, body
}

func TestAdapterAnswersBatchesOverPipes(t *testing.T) {
	cmd := exec.Command(build(t))
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	write := func(batch []byte) {
		t.Helper()
		if _, err := in.Write(batch); err != nil {
			t.Fatal(err)
		}
	}
	write(frame(1000))
	if codes, _ := reply(t, out); len(codes) != 0 {
		t.Errorf("reply to an empty batch: %v", codes)
	}
	write(join(1000, hello(0, env), list(0), hello(1, env), list(1), submit(0, 5)))
	codes, body := reply(t, out)
	if len(codes) < 2 || codes[0] != 1 ||
		binary.LittleEndian.Uint64(body[8:]) != 5 || binary.LittleEndian.Uint32(body[24:]) != 70 {
		t.Errorf("reply to a submit: codes %v, body %x", codes, body)
	}
	write(join(1100,
		newRecord(5, uint16(0), uint64(5), uint8(0), uint32(70), uint8(10), 100.0, uint8(1), uint32(0), uint8(0)),
		newRecord(10, uint16(1)), hello(1, env), list(1), submit(1, 6)))
	if codes, body := reply(t, out); len(codes) < 1 || codes[0] != 1 || binary.LittleEndian.Uint16(body[6:]) != 1 {
		t.Errorf("reply after a restart of the instance: codes %v", codes)
	}
	if err := in.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestMalformedInputIsReportedInOneLine(t *testing.T) {
	bin := build(t)
	good := join(1000, hello(0, env), list(0))
	then := func(record []byte) []byte { return append(good[:len(good):len(good)], join(1001, record)...) }
	for name, c := range map[string]struct {
		in   []byte
		want string // part of the error line
	}{
		"short frame":      {good[:20], "batch 0: frame body"},
		"unknown instance": {join(1, submit(7, 1)), "instance 7 is not running"},
		"unreadable setting": {
			join(1, hello(0, strings.Replace(env, "=8000", "=soon", 1))),
			"setting services.0.giveUp",
		},
		"unknown class": {
			then(newRecord(3, uint16(0), uint64(1), 0.0, uint16(0), uint64(0), uint8(3), float32(4), uint8(0), 9000.0)),
			"batch 1: record 0 at offset 0 (code 3): class 3",
		},
		"unknown result": {
			then(newRecord(5, uint16(0), uint64(1), uint8(0), uint32(70),
				uint8(11), 1.0, uint8(0), uint32(0), uint8(0))),
			"result 11",
		},
		"list never sent": {
			join(1, hello(0, env), newRecord(2, uint16(0), uint8(2), uint32(1), uint32(9))),
			"catalog 9",
		},
	} {
		cmd := exec.Command(bin)
		cmd.Stdin = bytes.NewReader(c.in)
		var errs bytes.Buffer
		cmd.Stderr = &errs
		err := cmd.Run()
		line := errs.String()
		if err == nil || !strings.Contains(line, c.want) || strings.Count(line, "\n") != 1 {
			t.Errorf("%s: exit %v, standard error %q", name, err, line)
		}
	}
}

func TestPanicBecomesInternalError(t *testing.T) {
	h := newHost()
	in := bytes.NewReader(join(1000, hello(0, env), list(0)))
	var out bytes.Buffer
	if _, err := h.handleBatch(in, &out); err != nil {
		t.Fatal(err)
	}
	h.instances[0].dispatcher = nil
	out.Reset()
	if _, err := h.handleBatch(bytes.NewReader(join(1001, submit(0, 1))), &out); err != nil {
		t.Fatal(err)
	}
	if codes, _ := reply(t, &out); len(codes) != 1 || codes[0] != 10 {
		t.Errorf("codes %v, want one internal_error", codes)
	}
}
