"""Demo that runs both deployments on one machine and checks the system's promises."""
