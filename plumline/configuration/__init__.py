"""The operators' configuration: documents, validation, changes, replicated state, route lookups."""
