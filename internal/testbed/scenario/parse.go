package scenario

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"shelfproxy/internal/tomlfile"
)

// Read reads and validates a scenario file. An error in a field names the file, the line and the field.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a scenario. The scenario is named after the file in path, unless the text sets
// a name. Errors contain the path.
func Parse(path string, text []byte) (*Scenario, error) {
	scenario := Default()
	scenario.Name = strings.TrimSuffix(path[strings.LastIndexByte(path, '/')+1:], ".toml")
	// A list in the file replaces the default list instead of extending it.
	defaultKinds, defaultClasses := scenario.Kinds, scenario.Classes
	scenario.Kinds, scenario.Classes = nil, nil
	file, err := tomlfile.Parse(path, text, scenario)
	if err != nil {
		return nil, err
	}
	scenario.file = file
	if scenario.Kinds == nil {
		scenario.Kinds = defaultKinds
	} else {
		scenario.fillKinds(defaultKinds[standardKind])
	}
	if scenario.Classes == nil {
		scenario.Classes = defaultClasses
	}
	return scenario, scenario.validate()
}

// fillKinds sets each field that a kind in the file leaves out to the value that it has in the standard kind.
func (s *Scenario) fillKinds(standard CacheServerKind) {
	from := reflect.ValueOf(standard)
	for i := range s.Kinds {
		to := reflect.ValueOf(&s.Kinds[i]).Elem()
		for n := range to.NumField() {
			key := to.Type().Field(n).Tag.Get("toml")
			if key != "name" && !s.file.Has(fmt.Sprintf("kind[%d].%s", i, key)) {
				to.Field(n).Set(from.Field(n))
			}
		}
	}
}
