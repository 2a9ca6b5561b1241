"""Routes of requests, and the choice of the endpoint that serves a request.

Runs for every send of a request, in the gateway's router and the relay's chooser,
where endpoints may be full, slow, distant or failing. Changes only its own view of
their load.
"""
