package exit

import (
	"errors"
	"fmt"
	"testing"
)

func TestCodeIsFoundInWrappedErrors(t *testing.T) {
	const fallback = 64
	cause := errors.New("cause")
	for name, test := range map[string]struct {
		err  error
		want int
	}{
		"with a code":           {With(2, cause), 2},
		"wrapped":               {fmt.Errorf("start: %w", With(2, cause)), 2},
		"the outermost code":    {With(1, With(2, cause)), 1},
		"without a code":        {cause, fallback},
		"no error has no code":  {With(2, nil), fallback},
		"the cause has no code": {errors.Unwrap(With(2, cause)), fallback},
	} {
		if got := Code(test.err, fallback); got != test.want {
			t.Errorf("%s: got %d, want %d", name, got, test.want)
		}
	}
	if err := With(2, cause); !errors.Is(err, cause) || err.Error() != cause.Error() {
		t.Errorf("got %q, want it to be %q", err, cause)
	}
}
