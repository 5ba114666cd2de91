package vrrp

import (
	"crypto/hmac"
	"crypto/sha256"
)

// Key is one of the secrets that the gateways share. Several may be valid at once, so that they change without a gap: the
// new one is made known everywhere first, then used for signing, and the old one removed last.
type Key struct {
	Number uint8
	Secret []byte
}

// purpose keeps signatures made for other ends with the same secret from being valid here.
const purpose = "marblespan vrrp 1\x00"

func (k Key) sum(b []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write([]byte(purpose))
	h.Write(b)
	return h.Sum(nil)
}

// verify checks the signature at the end of b.
func verify(b []byte, number uint8, keys []Key) Fault {
	for _, k := range keys {
		if k.Number == number {
			if hmac.Equal(k.sum(b[:len(b)-macSize]), b[len(b)-macSize:]) {
				return Sound
			}
			return BadMAC
		}
	}
	return UnknownKey
}
