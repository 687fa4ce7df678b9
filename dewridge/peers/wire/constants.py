"""Generated from dewridge.thrift by `make generate`."""
