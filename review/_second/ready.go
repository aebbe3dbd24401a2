package main

import (
	"net/http"
	"time"
)

var readyClient = &http.Client{Timeout: time.Second}

// isReady reports whether a gateway answers the platform's question with 200.
func isReady(address string) bool {
	response, err := readyClient.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
