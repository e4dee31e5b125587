"""The program nutmegdeal-gateway: serves callers' requests on the users' platform."""

from nutmegdeal.gateway.process import GatewayProcess
from nutmegdeal.nodes import run_node


def main():
    """Run until SIGTERM."""
    run_node(GatewayProcess)


if __name__ == "__main__":
    main()
