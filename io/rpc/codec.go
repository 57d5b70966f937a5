package rpc

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// maxParts bounds the fields or objects in a message, each of which takes many times its
// size if it is empty. The largest message has 10,000 records.
const maxParts = 10_100

// codec refuses messages of more than maxParts parts before it decodes them.
type codec struct {
	name string
	// countParts returns the number of parts of an encoded message, at least.
	countParts func(data []byte) int
	marshal    func(proto.Message) ([]byte, error)
	unmarshal  func([]byte, proto.Message) error
}

// codecs returns the codecs of all encodings that handlers accept.
func codecs() []codec {
	unmarshalJSON := protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal
	return []codec{
		{"proto", countFields, proto.Marshal, proto.Unmarshal},
		{"json", countObjects, protojson.Marshal, unmarshalJSON},
		{"json; charset=utf-8", countObjects, protojson.Marshal, unmarshalJSON},
	}
}

// Name returns the name of the encoding.
func (c codec) Name() string { return c.name }

// Marshal encodes a message.
func (c codec) Marshal(message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, fmt.Errorf("%T is no message", message)
	}
	return c.marshal(m)
}

// Unmarshal decodes a message.
func (c codec) Unmarshal(data []byte, message any) error {
	m, ok := message.(proto.Message)
	if !ok {
		return fmt.Errorf("%T is no message", message)
	}
	if parts := c.countParts(data); parts > maxParts {
		return fmt.Errorf("the message has over %d parts", maxParts)
	}
	return c.unmarshal(data, m)
}

// countFields returns the number of fields in front of the first malformed one.
func countFields(data []byte) int {
	count := 0
	for len(data) > 0 {
		_, _, size := protowire.ConsumeField(data)
		if size < 0 {
			break
		}
		data = data[size:]
		count++
	}
	return count
}

// countObjects returns the number of objects, including braces in texts.
func countObjects(data []byte) int {
	return bytes.Count(data, []byte("{"))
}
