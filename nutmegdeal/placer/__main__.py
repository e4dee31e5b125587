"""The program nutmegdeal-placer: orders adapters at the model engine beside it."""

from nutmegdeal.nodes import run_node
from nutmegdeal.placer.process import PlacerProcess


def main():
    """Run until SIGTERM."""
    run_node(PlacerProcess)


if __name__ == "__main__":
    main()
