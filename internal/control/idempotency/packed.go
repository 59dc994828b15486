package idempotency

import "github.com/fxamacker/cbor/v2"

// packedResponse is an encoded response, nil if there is none. A store holds tens of thousands of them, and decoded they take
// twice the memory.
type packedResponse []byte

func packResponse(r *Response) packedResponse {
	packed, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // a status, texts and bytes can always be encoded
	}
	return packed
}

// unpack returns the response, or nil if there is none.
func (p packedResponse) unpack() *Response {
	if p == nil {
		return nil
	}
	r := &Response{}
	if err := cbor.Unmarshal(p, r); err != nil {
		panic(err) // it was encoded by packResponse
	}
	return r
}
