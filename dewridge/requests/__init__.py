"""Request processing on entry hosts: records, replicas, claims and failover."""
