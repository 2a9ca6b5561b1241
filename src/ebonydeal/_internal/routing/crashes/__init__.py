"""Which requests bring endpoints down, and are refused for it.

Event: an endpoint that ends with requests at work. Called when a crash was seen or
told, and at each request; touches its own memory only.
"""
