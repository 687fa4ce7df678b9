"""Backend servers: who they are, who is leaving, and how to talk to them."""
