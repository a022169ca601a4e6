package agreement

import "fmt"

// FieldError is returned for a field of a configuration whose value a protocol cannot work with.
type FieldError struct {
	Field  string // key in the operators' file, within the protocol's table
	Reason string // what the value has to be
}

// Error names the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// InvalidField returns a FieldError whose reason is formatted as by fmt.Sprintf.
func InvalidField(field, reason string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(reason, args...)}
}
