package overhead

import (
	"encoding/json"
	"fmt"
	"os"
)

type object = map[string]any

// writeNodeConfig writes the configuration of a node. The node knows one cache server from the initial endpoint list in the
// configuration.
func writeNodeConfig(path, listen, cacheServer string) error {
	text, err := json.Marshal(object{"name": "overhead", "listen": listen, "discovery": "127.0.0.1:1", "seed": "1",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 4096},
		"known": object{"generation": 1, "reset": true, "instances": []object{{"instanceId": "box", "hostPort": cacheServer, "zone": "a",
			"machineType": "box", "cell": 0, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0}}},
		"settings": object{"replicas_of_me": 1, "az": "a", "registry_mode": "automatic", "tick": 5000,
			"machine_types": []string{"box", "origin"}, "family_info": object{"mode": "aside", "origin_kind": 1},
			"lanes":  []object{{"name": "read", "semantics": "idempotent", "worth": 1.0, "goal_time": 2000000, "deadline": 5000000, "late_worth": 0.5}},
			"limits": object{"probes": true, "cancel": true, "max_attempts": 6, "streams_per_conn": 32},
			"rules":  object{"cold_from": 0.13, "warm_after": 23000000, "overload_factor": 3.0}}})
	if err != nil {
		return fmt.Errorf("encode the node's configuration: %w", err)
	}
	return os.WriteFile(path, text, 0o600)
}
