"""How answers of backend servers end, and what ended runs leave at engines."""
