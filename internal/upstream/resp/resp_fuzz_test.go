package resp

import "testing"

// Whatever a target sends, parsing it must not panic, take more than is there, or keep more than it took.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"+PONG\r\n", "$9223372036854775807\r\n", "*99999999\r\n", "*3\r\n$1\r\na\r\n$-1\r\n$0\r\n\r\n",
		"-BUSY a=1\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		v, n, err := parse(b, 0, 64<<10)
		if n > len(b) || n < 0 && -n <= len(b) || err != nil && n > 0 {
			t.Fatalf("took %d of %d bytes, error %v", n, len(b), err)
		}
		if n > 0 {
			answer(v)
		}
	})
}
