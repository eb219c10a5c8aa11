"""Run the daemon geraniumleadd: turn network events into decisions and carry them out."""
