"""Run the workspace's tests."""
