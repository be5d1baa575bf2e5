"""A quiet phase and a storm at the sizes of a deployment."""
