"""Serving layer for very many LoRA adapters over shared model engines."""

__version__ = "0.1.0"
