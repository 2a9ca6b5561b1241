"""What happens to running streams when their endpoints are taken back.

Event: a notice that an endpoint or a zone leaves. Called by the gateway; touches
nothing.
"""
