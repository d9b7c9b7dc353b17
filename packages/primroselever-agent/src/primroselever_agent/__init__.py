"""
The agent, one small process on each backend server VM.

All requests to the engine or plain service on that VM go through it.
"""
