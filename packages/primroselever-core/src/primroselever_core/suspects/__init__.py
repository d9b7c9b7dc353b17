"""Requests that may crash the engines that run them."""
