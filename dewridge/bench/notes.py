"""What the page says of figures that were not reached."""

NOTES = ""
