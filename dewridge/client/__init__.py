"""Client library: host selection, submission with retries and resumable answers."""
