"""How a host follows the configuration document, which may be large."""
