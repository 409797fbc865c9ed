"""The Server/Application State Protocol, version 1 (RFC 4678): codec, conversations and sockets."""
