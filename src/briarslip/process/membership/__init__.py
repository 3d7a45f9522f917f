"""SWIM-like membership of the daemons, with the services that each one serves."""
