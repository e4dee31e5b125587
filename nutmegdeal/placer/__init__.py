"""The placer: runs beside one model engine and alone loads and unloads its adapters."""
