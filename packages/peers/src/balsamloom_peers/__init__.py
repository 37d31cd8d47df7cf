"""gRPC messages between entry processes."""
