"""Messages between processes, as protobuf with generated code."""
