"""The relay's view of the configuration and the endpoints, and its updates.

Updated by long polls of the store and by messages of other relays; owns the view.
"""
