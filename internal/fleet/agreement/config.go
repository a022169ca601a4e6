package agreement

import "fmt"

// FieldError reports a field of a configuration that has an invalid value.
type FieldError struct {
	Field  string // key in the operators' configuration file, within the table of the protocol
	Reason string // what the value has to be
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// InvalidField returns a FieldError whose reason is formatted as by fmt.Sprintf.
func InvalidField(field, reason string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(reason, args...)}
}
