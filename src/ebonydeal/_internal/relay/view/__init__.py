"""What this relay knows of configuration and endpoints, and how it hears of it.

Called by long polls of the store and by messages of other relays; owns the view.
"""
