"""The processes of carobspool: entry and sidecar."""
