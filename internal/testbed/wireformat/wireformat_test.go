package wireformat

import (
	"testing"

	"shelfproxy/internal/testbed/model"
)

// The kinds of corruption and the intact response all have different encodings. If two were encoded alike, one kind would
// not be tested.
func TestEveryCorruptionHasItsOwnEncoding(t *testing.T) {
	response := model.Response{Outcome: model.Hit, Copy: model.Copy{Key: "k", Size: 40}, Load: model.Load{Inflight: 1}}
	seen := map[string]model.CorruptionKind{}
	for kind := model.NotCorrupt; kind <= model.CorruptLoadReport; kind++ {
		response.Corruption = kind
		encodedHTTP, _ := EncodeHTTP("id", response)
		for protocol, encoded := range map[string]string{"RESP": string(EncodeRESP("id", response)), "HTTP": string(encodedHTTP)} {
			if other, ok := seen[protocol+encoded]; ok {
				t.Errorf("%s: kinds %d and %d are both encoded as %q, want different encodings", protocol, kind, other, encoded)
			}
			seen[protocol+encoded] = kind
		}
	}
}

func TestValueNamesItsRequestAndHasTheSizeOfTheRecord(t *testing.T) {
	value := EncodeValue("id1", model.Copy{Key: "k", Version: 2, Size: 40})
	if got := RequestOfValue(value); got != "id1" || len(value) != 40 {
		t.Errorf("value %q names %q and has %d bytes, want id1 and 40", value, got, len(value))
	}
	for _, text := range []string{"", "id1", "id1|k", "id1|k|v2"} {
		if got := RequestOfValue([]byte(text)); got != "" {
			t.Errorf("%q names %q, want no request", text, got)
		}
	}
}
