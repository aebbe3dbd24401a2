package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var errEmpty = errors.New("must be set")

// Text parses any non-empty text.
func Text(text string) (string, error) {
	if text == "" {
		return "", errEmpty
	}
	return text, nil
}

// Name parses a name of 1 to 63 lower-case letters, digits and inner hyphens.
func Name(text string) (string, error) {
	if text == "" {
		return "", errEmpty
	}
	if !namePattern.MatchString(text) {
		return "", fmt.Errorf("%q is not 1 to 63 small letters, digits and inner hyphens", text)
	}
	return text, nil
}

// Names parses a comma-separated list of one or more distinct names.
func Names(text string) ([]string, error) {
	var names []string
	for part := range strings.SplitSeq(text, ",") {
		name, err := Name(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		if slices.Contains(names, name) {
			return nil, fmt.Errorf("%q is named twice", name)
		}
		names = append(names, name)
	}
	return names, nil
}

// Address parses an IP address with a port, such as 10.0.0.1:7400.
func Address(text string) (string, error) {
	if text == "" {
		return "", errEmpty
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return "", fmt.Errorf("%q is not an IP address with a port", text)
	}
	return text, nil
}

// OptionalAddress parses an IP address with a port, or an empty text.
func OptionalAddress(text string) (string, error) {
	if text == "" {
		return "", nil
	}
	return Address(text)
}

// URL parses the base URL of an HTTP service, and removes a trailing slash.
func URL(text string) (string, error) {
	if text == "" {
		return "", errEmpty
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return "", fmt.Errorf("%q is not an http or https URL", text)
	}
	return strings.TrimSuffix(text, "/"), nil
}

// Duration returns a parser of durations from low to high, such as 500ms or 10s.
func Duration(low, high time.Duration) func(string) (time.Duration, error) {
	return func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a time such as 500ms or 10s", text)
		}
		if d < low || d > high {
			return 0, fmt.Errorf("%s is not within %s and %s", d, low, high)
		}
		return d, nil
	}
}

// Int returns a parser of integers from low to high.
func Int(low, high int) func(string) (int, error) {
	return func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", text)
		}
		if n < low || n > high {
			return 0, fmt.Errorf("%d is not within %d and %d", n, low, high)
		}
		return n, nil
	}
}

// OneOf returns a parser that accepts only the given words.
func OneOf(words ...string) func(string) (string, error) {
	return func(text string) (string, error) {
		if !slices.Contains(words, text) {
			return "", fmt.Errorf("%q is not one of %s", text, strings.Join(words, ", "))
		}
		return text, nil
	}
}

// PositiveFloat parses a number above 0.
func PositiveFloat(text string) (float64, error) {
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(share) || math.IsInf(share, 0) || share <= 0 {
		return 0, fmt.Errorf("%q is not a number above 0", text)
	}
	return share, nil
}

// Weights parses positive weights by name, such as "one=2, other=0.5". The text may be empty.
func Weights(text string) (map[string]float64, error) {
	weights := map[string]float64{}
	if strings.TrimSpace(text) == "" {
		return weights, nil
	}
	for _, part := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		name = strings.TrimSpace(name)
		if !ok || name == "" {
			return nil, fmt.Errorf("%q is not of the form NAME=WEIGHT", strings.TrimSpace(part))
		}
		if _, twice := weights[name]; twice {
			return nil, fmt.Errorf("%q has two weights", name)
		}
		weight, err := PositiveFloat(strings.TrimSpace(value))
		if err != nil {
			return nil, fmt.Errorf("weight of %q: %w", name, err)
		}
		weights[name] = weight
	}
	return weights, nil
}
