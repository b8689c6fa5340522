"""Wire formats: frames, messages between instances, HTTP headers, chat chunks."""
