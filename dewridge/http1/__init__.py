"""HTTP/1.1 over connections that the caller manages: h11 on trio streams."""
