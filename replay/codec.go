package replay

import (
	"bytes"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// The messages between hosts and the configuration have CBOR names. Traces show
// the same names and values as JSON: encode and decode go through CBOR with
// addresses and times as text.
var (
	encoding = must(cbor.EncOptions{
		BinaryMarshaler: cbor.BinaryMarshalerNone,
		TextMarshaler:   cbor.TextMarshalerTextString,
		Time:            cbor.TimeRFC3339Nano,
		Sort:            cbor.SortBytewiseLexical,
	}.EncMode())
	decoding = must(cbor.DecOptions{
		BinaryUnmarshaler: cbor.BinaryUnmarshalerNone,
		TextUnmarshaler:   cbor.TextUnmarshalerTextString,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func must[M any](mode M, err error) M {
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// encode returns value as JSON.
func encode(value any) (json.RawMessage, error) {
	data, err := encoding.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	var generic any
	if err := decoding.Unmarshal(data, &generic); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	out, err := json.Marshal(toJSON(generic))
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return out, nil
}

// decode reads JSON into the value that target points to.
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
	binary, err := encoding.Marshal(converted)
	if err != nil {
		return err
	}
	return decoding.Unmarshal(binary, target)
}

// toJSON turns a decoded CBOR value into one that package json can write.
// Bytes become a list of numbers.
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

// fromJSON turns the numbers of a decoded JSON value into integers where they
// are such.
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
		return numberOf(v)
	default:
		return value, nil
	}
}

func numberOf(n json.Number) (any, error) {
	if i, err := n.Int64(); err == nil {
		return i, nil
	}
	var u uint64
	if err := json.Unmarshal([]byte(n), &u); err == nil {
		return u, nil
	}
	return n.Float64()
}
