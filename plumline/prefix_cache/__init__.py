"""The prompt index: which parts of prompts are kept where."""
