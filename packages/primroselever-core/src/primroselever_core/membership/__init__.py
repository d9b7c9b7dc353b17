"""Membership: the VMs of the fleet, and what this process knows about each."""
