"""HTTP adapters to the platform's services."""
