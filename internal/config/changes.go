package config

// ChangedFixedFields returns the fields that have a different value in other and that a running node cannot change. It
// leaves out the fields that a reload applies. It also leaves out the seed and the initial endpoint list: they matter only
// at a start, so a running node need not change them.
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

// mayChange reports whether ChangedFixedFields leaves out a field, so that a reload logs no warning about its change.
func mayChange(field string) bool {
	switch field {
	case "discovery", "seed", "known", "peers", "duties.list", "rollout.nodes_out", "rollout.zone_out":
		return true
	}
	return false
}
