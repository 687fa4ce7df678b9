"""Discovery of backend servers, their departures, and the calls to them."""
