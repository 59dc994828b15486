package tables

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of an update in the Protocol Buffers wire format. An unknown field is an error: ignoring a field of a later
// format would result in a different table.
const (
	fieldInstance protowire.Number = iota + 1
	fieldIncarnation
	fieldProxy
	fieldNumber
	fieldSnapshot
	fieldBase
	fieldFrom
	fieldTo
	fieldWeight // server, float32
	fieldExcluded
	fieldReadmitted
	fieldGate // class, float32 level, byte retry mode
	fieldRemovedGate
	fieldChecksum // over all preceding bytes; always the last field
)

// MaxUpdateBytes is the maximum length of an encoded update, in bytes.
const MaxUpdateBytes = 1 << 20

// The errors of Decode.
var (
	ErrTooLarge  = errors.New("update is larger than 1 MiB")
	ErrMalformed = errors.New("malformed update")
	ErrChecksum  = errors.New("update checksum mismatch")
)

// Append appends the encoded update to out. The encoding ends with a checksum over all its bytes, so that a flipped bit is
// detected before any field is used, those of the version included.
func (u Update) Append(out []byte, key Key) []byte {
	begin := len(out)
	bytes := func(n protowire.Number, b []byte) {
		out = protowire.AppendBytes(protowire.AppendTag(out, n, protowire.BytesType), b)
	}
	number := func(n protowire.Number, x uint64) {
		out = protowire.AppendVarint(protowire.AppendTag(out, n, protowire.VarintType), x)
	}
	bytes(fieldInstance, []byte(u.Instance))
	number(fieldIncarnation, u.Incarnation)
	number(fieldProxy, uint64(u.Proxy))
	number(fieldNumber, u.Number)
	number(fieldSnapshot, protowire.EncodeBool(u.Snapshot))
	number(fieldBase, u.Base)
	bytes(fieldFrom, u.BaseDigest[:])
	bytes(fieldTo, u.ResultDigest[:])
	for _, name := range slices.Sorted(maps.Keys(u.Weights)) {
		bytes(fieldWeight, protowire.AppendFixed32(protowire.AppendBytes(nil, []byte(name)), math.Float32bits(u.Weights[name])))
	}
	for _, list := range []struct {
		n     protowire.Number
		names []string
	}{{fieldExcluded, u.Excluded}, {fieldReadmitted, u.Readmitted}, {fieldRemovedGate, u.RemovedGates}} {
		for _, name := range slices.Sorted(slices.Values(list.names)) {
			bytes(list.n, []byte(name))
		}
	}
	for _, class := range slices.Sorted(maps.Keys(u.Gates)) {
		g := u.Gates[class]
		bytes(fieldGate, append(protowire.AppendFixed32(protowire.AppendBytes(nil, []byte(class)), math.Float32bits(g.Level)),
			g.Again))
	}
	checksum := digestOf(out[begin:], key)
	bytes(fieldChecksum, checksum[:])
	return out
}

// Decode decodes an update. It verifies the checksum before it uses any field.
func Decode(data []byte, key Key) (u Update, err error) {
	if len(data) > MaxUpdateBytes {
		return Update{}, ErrTooLarge
	}
	const checksumSize = 2 + len(Digest{}) // tag and length take a byte each
	if len(data) < checksumSize {
		return Update{}, ErrMalformed
	}
	body, tail := data[:len(data)-checksumSize], data[len(data)-checksumSize:]
	n, kind, size := protowire.ConsumeTag(tail)
	checksum, rest := protowire.ConsumeBytes(tail[max(0, size):])
	if n != fieldChecksum || kind != protowire.BytesType || rest < 0 || len(checksum) != len(Digest{}) {
		return Update{}, ErrMalformed
	}
	if want := digestOf(body, key); subtle.ConstantTimeCompare(checksum, want[:]) == 0 {
		return Update{}, ErrChecksum
	}
	u = Update{Weights: map[string]float32{}, Gates: map[string]Gate{}}
	for len(body) > 0 {
		n, kind, size := protowire.ConsumeTag(body)
		if size < 0 {
			return Update{}, ErrMalformed
		}
		body = body[size:]
		switch kind {
		case protowire.VarintType:
			x, size := protowire.ConsumeVarint(body)
			if size < 0 {
				return Update{}, ErrMalformed
			}
			body = body[size:]
			err = u.setVarint(n, x)
		case protowire.BytesType:
			b, size := protowire.ConsumeBytes(body)
			if size < 0 {
				return Update{}, ErrMalformed
			}
			body = body[size:]
			err = u.setBytes(n, b)
		default:
			err = ErrMalformed
		}
		if err != nil {
			return Update{}, err
		}
	}
	return u, nil
}

func (u *Update) setVarint(n protowire.Number, x uint64) error {
	switch n {
	case fieldIncarnation:
		u.Incarnation = x
	case fieldProxy:
		if u.Proxy = uint32(x); uint64(u.Proxy) != x {
			return ErrMalformed
		}
	case fieldNumber:
		u.Number = x
	case fieldSnapshot:
		u.Snapshot = protowire.DecodeBool(x)
	case fieldBase:
		u.Base = x
	default:
		return fmt.Errorf("%w: field %d", ErrMalformed, n)
	}
	return nil
}

func (u *Update) setBytes(n protowire.Number, b []byte) error {
	switch n {
	case fieldInstance:
		u.Instance = string(b)
	case fieldFrom, fieldTo:
		if len(b) != len(Digest{}) {
			return ErrMalformed
		}
		if n == fieldFrom {
			u.BaseDigest = Digest(b)
		} else {
			u.ResultDigest = Digest(b)
		}
	case fieldWeight, fieldGate:
		name, size := protowire.ConsumeBytes(b)
		if size < 0 {
			return ErrMalformed
		}
		bits, fixed32Size := protowire.ConsumeFixed32(b[size:])
		if fixed32Size < 0 {
			return ErrMalformed
		}
		switch rest := b[size+fixed32Size:]; {
		case n == fieldWeight && len(rest) == 0:
			u.Weights[string(name)] = math.Float32frombits(bits)
		case n == fieldGate && len(rest) == 1:
			u.Gates[string(name)] = Gate{math.Float32frombits(bits), rest[0]}
		default:
			return ErrMalformed
		}
	case fieldExcluded:
		u.Excluded = append(u.Excluded, string(b))
	case fieldReadmitted:
		u.Readmitted = append(u.Readmitted, string(b))
	case fieldRemovedGate:
		u.RemovedGates = append(u.RemovedGates, string(b))
	default:
		return fmt.Errorf("%w: field %d", ErrMalformed, n)
	}
	return nil
}
