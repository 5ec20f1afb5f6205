"""The command line of carobspool."""
