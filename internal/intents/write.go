package intents

import (
	"context"
	"time"

	"marblespan/internal/indoubt"
)

// write is a client's write request. It implements Write.
type write struct {
	service *Service
	id      uint64
	request Request
	client  Client

	// Only the service's goroutine accesses the fields below.
	routed     bool
	permission chan bool // gets the permission for the attempt that waits for permission; nil if no attempt waits
}

// NewWrite returns a write for a request. The write does nothing before Begin is called.
func (s *Service) NewWrite(request Request, client Client) Write {
	return &write{service: s, id: s.lastID.Add(1), request: request, client: client}
}

// Begin claims the write. Later, or already before Begin returns, the service calls Client.Route to route the write or
// Client.Reply to answer it.
func (w *write) Begin() {
	s, request := w.service, &w.request
	deadline := s.settings.Now() + micros(time.Until(request.Deadline))
	s.post(func() {
		s.writes[w.id] = w
		s.handle(indoubt.RequestReceived{
			ID: w.id, Key: request.IntentKey, RequestID: request.ID, Class: request.Class,
			Group: request.Group, Repeat: request.Repeat, Deadline: deadline, Policy: s.settings.Classes[request.Class].Policy,
		})
	})
}

// RoutingAnswered passes on the final answer of routing. value is nil if the answer is not to be stored.
func (w *write) RoutingAnswered(kind indoubt.AnswerKind, value []byte) {
	w.service.post(func() {
		w.service.handle(indoubt.RoutingAnswered{ID: w.id, Kind: kind, Value: value, ValueComplete: value != nil})
	})
}

// Cancel informs the service that the client has stopped waiting.
func (w *write) Cancel() {
	w.service.post(func() { w.service.handle(indoubt.RequestCanceled{ID: w.id}) })
}

// MaySend reports whether the last byte of an attempt may be written now. It waits for the permission until the deadline.
func (w *write) MaySend(ctx context.Context, server string, deadline time.Time) bool {
	s, permission := w.service, make(chan bool, 1)
	until := s.settings.Now() + micros(time.Until(deadline))
	s.post(func() {
		w.permission = permission
		s.handle(indoubt.PermissionRequested{ID: w.id, Server: server, Deadline: until})
	})
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case granted := <-permission:
		return granted
	case <-ctx.Done():
	case <-timeout.C:
	case <-s.quit:
	}
	return false
}
