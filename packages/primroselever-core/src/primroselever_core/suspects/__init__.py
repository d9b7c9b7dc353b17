"""Requests that are suspected of crashing the engines that run them."""
