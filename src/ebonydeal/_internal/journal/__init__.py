"""Request journal: fold, appender, owner, dispatcher, snapshots."""
