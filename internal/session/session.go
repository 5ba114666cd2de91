// Package session serves the gateway's connections: from clients, to database servers and to discovery. It connects sockets and
// codecs to the event queue of routing.Owner, and makes no routing decisions. Package gateway calls Clients.Serve for each
// accepted connection; package routing calls the methods of Servers and Discovery.
//
// Each connection has one goroutine, and only that goroutine reads and writes the socket. Other goroutines pass something to it
// under the connection's mutex and then wake it: an answer (pendingQuery.deliver), a task (serverConn.assign), a cancellation
// (task.Cancel) or a request to close (CloseIdle).
//
// Where to look:
//   - client.serveMessages reads a client's messages, client.handleQuery turns queries into requests, and client.flush writes the
//     answers in the order of the queries.
//   - client.abandonQueries starts the cleanup after a client has disconnected.
//   - Servers.start picks a connection for a task; serverConn.exchange carries out the task and derives its result from the
//     answer; serverConn.finishTask decides whether the connection is reused.
//   - Discovery.ended and call.postList decide which failures and lists from discovery are posted to the router.
package session
