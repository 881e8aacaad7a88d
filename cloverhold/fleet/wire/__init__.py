"""Words between nodes: datagrams of 256 bytes. Pure; docs/design/membership.md has the form."""
