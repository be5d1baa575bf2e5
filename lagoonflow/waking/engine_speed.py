"""Speed of model engines, for estimates."""

# Prefill time of one prompt token, from the engines' stated rate of 38.4 tokens
# per ms.
PREFILL_TOKEN_MS = 0.026
