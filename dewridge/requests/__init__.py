"""Requests from acceptance to answer: records, keepers, claims, takeover."""
