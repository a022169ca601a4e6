package config

// ChangedFixedFields returns the fields that differ in other and that a running node cannot change. It leaves out the
// seed and the initial endpoint list, which only a start uses, and the fields that a reload applies.
func (c *Config) ChangedFixedFields(other *Config) (fields []string) {
	before, after := c.Show(), other.Show()
	for i, setting := range before {
		switch {
		case mayChange(setting.Field):
		case i >= len(after) || after[i].Field != setting.Field:
			return append(fields, "settings") // the two configurations have different classes or tenants
		case after[i].Value != setting.Value:
			fields = append(fields, setting.Field)
		}
	}
	if len(after) > len(before) {
		fields = append(fields, "settings")
	}
	return fields
}

// mayChange reports whether a field may differ in the new configuration without a restart.
func mayChange(field string) bool {
	switch field {
	case "discovery", "seed", "known", "peers", "duties.list", "rollout.nodes_out", "rollout.zone_out":
		return true
	}
	return false
}
