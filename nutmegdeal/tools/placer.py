"""The program nutmegdeal-placer: orders adapters at the model engine beside it."""

from nutmegdeal.placer.process import PlacerProcess
from nutmegdeal.tools.node import run_node


def main():
    """Run until SIGTERM."""
    run_node(PlacerProcess)


if __name__ == "__main__":
    main()
