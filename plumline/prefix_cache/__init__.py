"""The prefix-cache index: which endpoints and stores hold which prompt parts."""
