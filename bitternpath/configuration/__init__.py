"""The operator's configuration: checked documents, agreed versions, and the feed of changes."""
