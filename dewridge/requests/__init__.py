"""Requests from acceptance to answer: records, replicas, claims, takeover."""
