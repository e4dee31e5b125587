"""The placer: runs beside one model engine and is the only one that orders it."""
