"""Names of the contracts that the platform may list for a deployment."""

PRESSURE_CONTRACT = "pressure"
"""Accounts compete for too little capacity; servers and entries have little memory."""
