package replay

import (
	"bytes"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Messages between hosts and the configuration have CBOR field names. Traces hold
// the same names and values as JSON: encode and decode convert through CBOR, with
// addresses and times as text.
var (
	encMode = must(cbor.EncOptions{
		BinaryMarshaler: cbor.BinaryMarshalerNone,
		TextMarshaler:   cbor.TextMarshalerTextString,
		Time:            cbor.TimeRFC3339Nano,
		Sort:            cbor.SortBytewiseLexical,
	}.EncMode())
	decMode = must(cbor.DecOptions{
		BinaryUnmarshaler: cbor.BinaryUnmarshalerNone,
		TextUnmarshaler:   cbor.TextUnmarshalerTextString,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // the CBOR options are constant, and the JSON values can be encoded
	}
	return value
}

// encode returns value as JSON.
func encode(value any) (json.RawMessage, error) {
	data, err := encMode.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	var generic any
	if err := decMode.Unmarshal(data, &generic); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	out, err := json.Marshal(toJSON(generic))
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return out, nil
}

// decode decodes JSON into the value that target points to.
func decode(data json.RawMessage, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var generic any
	if err := decoder.Decode(&generic); err != nil {
		return err
	}
	converted, err := fromJSON(generic)
	if err != nil {
		return err
	}
	binary, err := encMode.Marshal(converted)
	if err != nil {
		return err
	}
	return decMode.Unmarshal(binary, target)
}

// toJSON converts a decoded CBOR value to one that encoding/json can encode.
// Byte strings become lists of numbers.
func toJSON(value any) any {
	switch v := value.(type) {
	case map[any]any:
		object := make(map[string]any, len(v))
		for key, field := range v {
			name, isText := key.(string)
			if !isText {
				name = string(must(json.Marshal(toJSON(key))))
			}
			object[name] = toJSON(field)
		}
		return object
	case []any:
		list := make([]any, len(v))
		for i, element := range v {
			list[i] = toJSON(element)
		}
		return list
	case []byte:
		list := make([]int, len(v))
		for i, b := range v {
			list[i] = int(b)
		}
		return list
	default:
		return value
	}
}

// fromJSON converts the numbers of a decoded JSON value to integers where they
// are integral.
func fromJSON(value any) (any, error) {
	switch v := value.(type) {
	case map[string]any:
		for key, field := range v {
			converted, err := fromJSON(field)
			if err != nil {
				return nil, err
			}
			v[key] = converted
		}
		return v, nil
	case []any:
		for i, element := range v {
			converted, err := fromJSON(element)
			if err != nil {
				return nil, err
			}
			v[i] = converted
		}
		return v, nil
	case json.Number:
		return parseNumber(v)
	default:
		return value, nil
	}
}

func parseNumber(n json.Number) (any, error) {
	if i, err := n.Int64(); err == nil {
		return i, nil
	}
	var u uint64
	if err := json.Unmarshal([]byte(n), &u); err == nil {
		return u, nil
	}
	return n.Float64()
}
