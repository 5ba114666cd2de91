// Package session serves the gateway's connections: those of clients, to database servers and to discovery. It joins sockets and
// codecs to the queue of routing.Owner, and makes no routing decision. Package gateway calls Clients.Serve for each connection
// accepted; package routing calls the methods of Servers and Discovery.
//
// Each connection has one goroutine, which alone reads and writes its socket. Other goroutines leave something for it, under its
// mutex, and wake it: an answer (pendingQuery.deliver), a task (serverConn.assign), a cancel (task.Cancel) or a wish to close
// (CloseIdle).
//
// Where to look:
//   - client.serveMessages reads a client's messages, client.handleQuery makes requests of them, and client.flush writes the
//     answers in the order of the queries.
//   - client.abandonQueries begins what follows when a client disconnects.
//   - Servers.start picks a connection for a task; serverConn.exchange carries one out and reads its result from the answer;
//     serverConn.finishTask decides whether the connection is used again.
//   - Discovery.ended and call.postList decide what of discovery the router hears.
package session
