package resp

import "testing"

// FuzzParse checks that parsing any bytes neither panics, nor consumes more bytes than there are, nor asks for bytes that are
// there already.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"+PONG\r\n", "$9223372036854775807\r\n", "*99999999\r\n", "*3\r\n$1\r\na\r\n$-1\r\n$0\r\n\r\n",
		"-BUSY a=1\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		value, size, err := parseReply(b, false, 64<<10)
		if size.consumed < 0 || size.consumed > len(b) || size.needed < 0 || size.needed > 0 && size.needed <= len(b) || err != nil && size.consumed > 0 {
			t.Fatalf("got %+v of %d bytes, error %v; want no more consumed than there are, and more needed", size, len(b), err)
		}
		if size.consumed == 0 {
			return
		}
		if response, err := responseOf(value); err != nil && (response.Value != nil || response.LoadReport != nil) {
			t.Fatalf("got a response %+v beside the error %v, want none", response, err)
		}
	})
}
