package simulator

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"peppervale/internal/model"
)

func TestBindProxyEncodesOperations(t *testing.T) {
	reply := &Reply{}
	reply.BindProxy(258, 3, 6, nil)
	if record := reply.Frame(1)[replyHeaderSize:]; !bytes.Equal(record[:7], []byte{14, 2, 1, 3, 0, 6, 0}) {
		t.Fatalf("wrong record: % x", record[:7])
	}
}

func TestAppendMovesTextsOfOtherReply(t *testing.T) {
	other, reply := &Reply{}, &Reply{}
	other.SetWeight(7, model.ReplicaID{Addr: [4]byte{1, 2, 3, 4}, Port: 5}, 0.5)
	other.Log("hi")
	reply.Log("first")
	reply.SetSourceInstance(3)
	reply.Append(other)
	frame := reply.Frame(12)
	if binary.LittleEndian.Uint32(frame) != uint32(len(frame)-4) || frame[4] != 4 || frame[8] != 12 {
		t.Fatalf("wrong header: % x", frame[:12])
	}
	weight := frame[12+2*actionSize:]
	if want := []byte{1, 7, 0, 0, 0, 0, 0x3f, 1, 2, 3, 4, 5, 0}; !bytes.Equal(weight[:13], want) {
		t.Fatalf("wrong weight: % x", weight[:13])
	}
	text := frame[12+3*actionSize:]
	if text[1] != 5 || text[5] != 2 || !strings.HasSuffix(string(frame), "firsthi") {
		t.Fatal("the text of the other reply does not follow the text of this reply")
	}
}
