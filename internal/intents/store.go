package intents

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"marblespan/internal/indoubt"
)

// keyPrefix is the prefix of the key of each intent in the store. It is stored and must never change.
const keyPrefix = "booking "

// shortKeyBytes is the number of bytes at the end of a key that identify a write in logs and commands.
const shortKeyBytes = 8

// Key returns the key of a write's intent in the store. Two requests with the same class, group and statement are the same write. The
// statement, without its comment, may be given in parts.
func Key(class string, group int, statement ...[]byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %d ", class, group)
	for _, part := range statement {
		sum.Write(part)
	}
	return keyPrefix + string(sum.Sum(nil))
}

// ShortKey returns the short hexadecimal form of a key that logs and commands show.
func ShortKey(key string) string {
	if len(key) < 2*shortKeyBytes {
		return key
	}
	return hex.EncodeToString([]byte(key[len(key)-shortKeyBytes:]))
}

func (s *Service) put(p indoubt.Put) {
	store := s.store.Load()
	raw, err := json.Marshal(&p.Intent)
	if store == nil || err != nil {
		s.notApplied(p.Call)
		return
	}
	(*store).Put([]byte(p.Key), raw, p.Version, duration(p.Retention), s.settings.ToTime(p.Deadline), s.storeReplied(p.Call))
}

func (s *Service) get(g indoubt.Get) {
	store := s.store.Load()
	if store == nil {
		s.notApplied(g.Call)
		return
	}
	(*store).Get([]byte(g.Key), s.settings.ToTime(g.Deadline), s.storeReplied(g.Call))
}

func (s *Service) notApplied(call uint64) {
	s.post(func() { s.handle(indoubt.StoreReplied{Call: call, Result: indoubt.NotApplied}) })
}

// storeReplied returns the function that the store calls with the result of a call.
func (s *Service) storeReplied(call uint64) func(StoreReply) {
	return func(reply StoreReply) {
		ev := indoubt.StoreReplied{
			Call: call, Result: reply.Result, Version: reply.Version,
			PossiblyLost: reply.PossiblyLost, Age: micros(reply.Age), SinceLoss: micros(reply.SinceLoss),
		}
		if reply.Found {
			ev.Intent = parseIntent(reply.Value)
		}
		s.post(func() { s.handle(ev) })
	}
}

// parseIntent decodes a stored intent. If this version of the gateway cannot decode it, parseIntent returns an intent in the state
// InDoubt: an intent exists, so the write may have run, but nothing more is known.
func parseIntent(value []byte) *indoubt.Intent {
	var intent indoubt.Intent
	if json.Unmarshal(value, &intent) != nil {
		return &indoubt.Intent{State: indoubt.InDoubt}
	}
	return &intent
}
