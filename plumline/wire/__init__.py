"""What is spoken: HTTP both ways, internal frames, the table of calls."""
