"""The daemon ``geraniumleadd``: passes network events to the core and executes its actions."""
