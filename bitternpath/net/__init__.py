"""What every protocol needs of a connection: the one buffer, dialling, and the count of sockets."""
