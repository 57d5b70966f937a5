package link

import (
	"bytes"
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	peerv1 "teaseltack/gen/teaseltack/peer/v1"
)

// The numbers of the fields of a frame, as in the schema.
const (
	numberField     = 1
	callField       = 2
	answerField     = 3
	callBodyField   = 15
	answerBodyField = 8
)

const (
	// longBody is the size in bytes above which a body is neither copied into a frame nor
	// out of it.
	longBody = 16 << 10
	// fieldBytes is the memory in bytes that a decoded field takes beside its content; the
	// largest is a record of a host.
	fieldBytes = 192
)

// bodyField returns the number of the body's field in a field of a frame, or 0 if that has
// no body.
func bodyField(field protowire.Number) protowire.Number {
	switch field {
	case callField:
		return callBodyField
	case answerField:
		return answerBodyField
	}
	return 0
}

// appendFrame appends a frame with its length in front. A long body is not copied: it is
// returned and follows the appended bytes.
func appendFrame(out []byte, f *peerv1.Frame) (appended, body []byte, err error) {
	switch {
	case len(f.Call.GetBody()) > longBody:
		body = f.Call.Body
		f.Call.Body = nil
		appended, err = appendAround(out, f.Number, callField, f.Call, body)
	case len(f.Answer.GetBody()) > longBody:
		body = f.Answer.Body
		f.Answer.Body = nil
		appended, err = appendAround(out, f.Number, answerField, f.Answer, body)
	default:
		out = protowire.AppendVarint(out, uint64(proto.Size(f)))
		appended, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, f)
	}
	if err != nil {
		return out, nil, fmt.Errorf("encoding a frame: %w", err)
	}
	return appended, body, nil
}

// appendAround appends a frame whose message lacks its body, up to the first byte of it.
func appendAround(out []byte, number uint64, field protowire.Number, message proto.Message, body []byte) ([]byte, error) {
	rest, err := proto.Marshal(message)
	if err != nil {
		return out, err
	}
	rest = protowire.AppendTag(rest, bodyField(field), protowire.BytesType)
	rest = protowire.AppendVarint(rest, uint64(len(body)))
	var start []byte
	start = protowire.AppendTag(start, numberField, protowire.VarintType)
	start = protowire.AppendVarint(start, number)
	start = protowire.AppendTag(start, field, protowire.BytesType)
	start = protowire.AppendVarint(start, uint64(len(rest)+len(body)))
	out = protowire.AppendVarint(out, uint64(len(start)+len(rest)+len(body)))
	return append(append(out, start...), rest...), nil
}

// errMalformed is the error of a frame that does not consist of fields.
var errMalformed = errors.New("malformed frame")

// eachField calls visit with the number and the type of each field, and with the offsets
// of its tag, its value and its end.
func eachField(data []byte, visit func(field protowire.Number, kind protowire.Type, tag, value, end int)) error {
	for at := 0; at < len(data); {
		field, kind, tagSize := protowire.ConsumeTag(data[at:])
		if tagSize < 0 {
			return errMalformed
		}
		valueSize := protowire.ConsumeFieldValue(field, kind, data[at+tagSize:])
		if valueSize < 0 {
			return errMalformed
		}
		visit(field, kind, at, at+tagSize, at+tagSize+valueSize)
		at += tagSize + valueSize
	}
	return nil
}

// layout is where a frame has its long body. The offsets are those in the frame.
type layout struct {
	// fields is the number of fields, those of the messages in the frame included.
	fields int
	// message is the field that holds the body; 0 if no body is long.
	message protowire.Number
	// messageTag, messageValue and messageEnd enclose the message, bodyTag, bodyValue and
	// bodyEnd its body. The values do not include their lengths.
	messageTag, messageValue, messageEnd int
	bodyTag, bodyValue, bodyEnd          int
}

// parseLayout scans a frame without decoding it.
func parseLayout(frame []byte) (layout, error) {
	var l layout
	err := eachField(frame, func(field protowire.Number, kind protowire.Type, tag, value, end int) {
		l.fields++
		if kind != protowire.BytesType {
			return
		}
		message, _ := protowire.ConsumeBytes(frame[value:end])
		start := end - len(message)
		// What is no message is refused when it is decoded.
		_ = eachField(message, func(inner protowire.Number, innerKind protowire.Type, innerTag, innerValue, innerEnd int) {
			l.fields++
			if inner != bodyField(field) || innerKind != protowire.BytesType || innerEnd-innerValue <= longBody {
				return
			}
			body, _ := protowire.ConsumeBytes(message[innerValue:innerEnd])
			l.message, l.messageTag, l.messageValue, l.messageEnd = field, tag, start, end
			l.bodyTag, l.bodyValue, l.bodyEnd = start+innerTag, start+innerEnd-len(body), start+innerEnd
		})
	})
	return l, err
}

// decodedBytes is the memory that a decoded frame takes beside its long body.
func (l layout) decodedBytes(frame []byte) int64 {
	const copies = 2
	return int64(l.fields*fieldBytes + copies*(len(frame)-(l.bodyEnd-l.bodyValue)))
}

// decode decodes a frame. A long body stays where it is in the frame.
func (l layout) decode(frame []byte) (*peerv1.Frame, error) {
	f := &peerv1.Frame{}
	if l.message == 0 {
		return f, proto.Unmarshal(frame, f)
	}
	rest := bytes.Join([][]byte{frame[l.messageValue:l.bodyTag], frame[l.bodyEnd:l.messageEnd]}, nil)
	var short []byte
	short = append(short, frame[:l.messageTag]...)
	short = protowire.AppendTag(short, l.message, protowire.BytesType)
	short = protowire.AppendBytes(short, rest)
	short = append(short, frame[l.messageEnd:]...)
	if err := proto.Unmarshal(short, f); err != nil {
		return nil, err
	}
	body := frame[l.bodyValue:l.bodyEnd:l.bodyEnd]
	if l.message == callField {
		f.Call.Body = body
	} else {
		f.Answer.Body = body
	}
	return f, nil
}

// parseStart returns the part of a frame that its refusal needs: the number, the ids of a
// call and whether it is an answer. Senders write them first.
func parseStart(start []byte) *peerv1.Frame {
	f := &peerv1.Frame{}
	field, kind, tag := protowire.ConsumeTag(start)
	if field == numberField && kind == protowire.VarintType {
		value, size := protowire.ConsumeVarint(start[tag:])
		if size < 0 {
			return f
		}
		f.Number, start = value, start[tag+size:]
		field, kind, tag = protowire.ConsumeTag(start)
	}
	if tag < 0 || kind != protowire.BytesType {
		return f
	}
	switch field {
	case callField:
		f.Call = parseIDs(start[tag:])
	case answerField:
		f.Answer = &peerv1.ForwardResponse{}
	}
	return f
}

// parseIDs returns a call with its ids only. The value of the call's field may be cut off.
func parseIDs(value []byte) *peerv1.ForwardRequest {
	const requestIDField, nonceField = 1, 2
	call := &peerv1.ForwardRequest{}
	_, lengthSize := protowire.ConsumeVarint(value)
	if lengthSize < 0 {
		return call
	}
	message := value[lengthSize:]
	// The error of a message that is cut off is expected.
	_ = eachField(message, func(field protowire.Number, kind protowire.Type, _, start, end int) {
		if kind != protowire.BytesType {
			return
		}
		text, _ := protowire.ConsumeString(message[start:end])
		switch field {
		case requestIDField:
			call.RequestId = text
		case nonceField:
			call.Nonce = text
		}
	})
	return call
}
