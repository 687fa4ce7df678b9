"""Messages that hosts send each other, as they arrive."""
