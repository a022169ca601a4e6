package config

// ChangedFixedFields returns the fields in which other differs and that a running node cannot change. The seed and the
// endpoint list of the start count for a start alone, and the program can follow the others that are left out.
func (c *Config) ChangedFixedFields(other *Config) (fields []string) {
	before, after := c.Show(), other.Show()
	for i, setting := range before {
		switch {
		case mayChange(setting.Field):
		case i >= len(after) || after[i].Field != setting.Field:
			return append(fields, "settings") // other classes or tenants
		case after[i].Value != setting.Value:
			fields = append(fields, setting.Field)
		}
	}
	if len(after) > len(before) {
		fields = append(fields, "settings")
	}
	return fields
}

// mayChange reports whether a field may differ without a restart.
func mayChange(field string) bool {
	switch field {
	case "discovery", "seed", "known", "peers", "duties.list", "rollout.nodes_out", "rollout.zone_out":
		return true
	}
	return false
}
