"""HTTP/1.1 with h11 on trio streams; connections belong to the code that opens them."""
