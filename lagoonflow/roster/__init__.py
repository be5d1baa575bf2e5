"""Membership, share denominators and rendezvous homes."""
