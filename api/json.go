package api

import (
	"bytes"
	"encoding/json"
	"io"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 1 << 20

// Marshal encodes a resource as a single line of JSON. The output for a given resource is always the same.
func Marshal(m proto.Message) ([]byte, error) {
	content, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, NewError(KindInternal, err.Error()).WithOp("marshal")
	}
	// protojson deliberately varies its white space.
	line := &bytes.Buffer{}
	if err := json.Compact(line, content); err != nil {
		return nil, NewError(KindInternal, err.Error()).WithOp("marshal")
	}
	return line.Bytes(), nil
}

// Unmarshal decodes a resource from JSON. Unknown fields are errors.
func Unmarshal(content []byte, m proto.Message) error {
	if err := protojson.Unmarshal(content, m); err != nil {
		return NewError(KindMalformedBody, cleanDetail(err)).WithOp("unmarshal")
	}
	return nil
}

// Read decodes a resource from a request body of at most MaxBodyBytes.
func Read(body io.Reader, m proto.Message) error {
	content, err := io.ReadAll(io.LimitReader(body, MaxBodyBytes+1))
	if err != nil {
		return NewError(KindMalformedBody, "the body could not be read").WithOp("read")
	}
	if len(content) > MaxBodyBytes {
		return NewError(KindBodyTooLarge, "the body is larger than 1 MiB").WithOp("read")
	}
	return Unmarshal(content, m)
}

// cleanDetail returns an error's text without protobuf's prefix, the white space of which deliberately varies.
func cleanDetail(err error) string {
	text := []byte(err.Error())
	text = bytes.ReplaceAll(text, []byte("\u00a0"), []byte(" "))
	text = bytes.TrimPrefix(text, []byte("proto: "))
	return string(text)
}
