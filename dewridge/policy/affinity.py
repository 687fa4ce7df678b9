"""Prefix affinity: requests with one prompt prefix go to one server."""

MASK = (1 << 64) - 1
GOLDEN = 0x9E3779B97F4A7C15


def score_prefix(prefix: int, server_hash: int) -> int:
    """Return a server's rendezvous score for a prefix; the highest one has it.

    The prefix is salted with the client account before it gets here, so that
    no account learns from the timing what another one's prompts begin with.
    """
    mixed = ((prefix & MASK) ^ server_hash) * GOLDEN & MASK
    mixed = (mixed ^ (mixed >> 32)) * GOLDEN & MASK
    return mixed ^ (mixed >> 29)


def has_room(in_flight: int, mean: float, load: float) -> bool:
    """Whether a server may keep a prefix: its load is near the mean.

    Made for skewed demand: one dossier template that most requests begin with.
    Without the bound its server would get nearly all work while the others
    stand idle; with it the overflow goes to the prefix's next server.
    """
    return in_flight + 1 <= load * (mean + 1)
