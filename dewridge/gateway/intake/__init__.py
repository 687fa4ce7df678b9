"""What clients make a gateway hold, and the listeners that they connect to."""
