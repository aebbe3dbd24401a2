package catalog_test

import (
	"fmt"

	"hollyfork.example/hollyfork/catalog"
)

func ExampleCatalog_Match() {
	c := catalog.Catalog{Queues: []catalog.Queue{
		{Name: "all", Host: "jobs.example", Prefix: "/"},
		{Name: "captions", Host: "jobs.example", Prefix: "/captions/"},
	}}
	q, _ := c.Match("jobs.example", "/captions/0123456789abcdef")
	fmt.Println(q.Name)
	// Output: captions
}
