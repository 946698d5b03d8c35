"""The demo: both deployments on this machine, and the jobs that it runs on them."""
