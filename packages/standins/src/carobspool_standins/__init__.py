"""Stand-ins for upstreams and the platform, the quickstart and the load tool."""
