// Package link carries messages between routers over grpc-go streams.
//
// A session joins two incarnations of two hosts. Its messages arrive in order and without loss; when it breaks, what
// was not delivered is lost and both sides are told. A session that receives nothing for ReceiveTimeout is broken.
package link
