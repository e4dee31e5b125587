"""The program nutmegdeal-placer: loads and unloads adapters at its model engine."""

from nutmegdeal.nodes import run_node
from nutmegdeal.placer.process import PlacerProcess


def main():
    """Run until SIGTERM."""
    run_node(PlacerProcess)


if __name__ == "__main__":
    main()
