"""An edge node's side of the queue shards: who owns them, appends, reports, pulls and look-ups."""
