"""How a back end without the wanted weights gets them, and when it switches."""
