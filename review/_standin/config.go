package main

// Tenants, keys and queues of the configuration. The queues are those of the smallest deployment's sheet.
const (
	lecturesKey = "key-of-lectures"
	libraryKey  = "key-of-library"

	lecturesGuaranteed = 16
	libraryGuaranteed  = 8

	attempts = 3
)

var (
	captions   = queue{name: "caption-gen", host: "captions.example", prefix: "/captions/"}
	transcodes = queue{name: "lecture-transcode", host: "lectures.example", prefix: "/transcodes/"}
	thumbnails = queue{name: "archive-thumbs", host: "archive.example", prefix: "/thumbnails/"}
)

type object = map[string]any

// config returns the configuration that the operator writes.
func config() string {
	route := func(q queue, priority, goalMs int, stretch float64) object {
		return object{
			"name": q.name, "host": q.host, "prefix": q.prefix, "type": "unsafe", "timeout_ms": 3000, "goal_ms": goalMs,
			"priority": priority, "service": serviceName, "attempts": attempts, "stretch": stretch, "public": false,
		}
	}
	tenant := func(name, key string, gpu int) object {
		return object{"name": name, "api_keys": []string{key}, "priority": 1, "guaranteed": object{"gpu": gpu}}
	}
	return encode(object{
		"version": 7,
		"routes":  []object{route(captions, 0, 250, 1.5), route(transcodes, 1, 1000, 3), route(thumbnails, 2, 3000, 3)},
		"services": []object{{
			"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": true, "headroom": false,
		}},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{tenant("lectures", lecturesKey, lecturesGuaranteed), tenant("library", libraryKey, libraryGuaranteed)},
	})
}
